// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Assembly/assemblySimulation.h"
#include "Tests/Fakes/fuzz.h"

namespace vetchpost::test {

/// After the last fault each model has a group again within this time, whichever weights the hosts hold.
constexpr std::chrono::seconds recoveryTime(40);

/// Shows a step in the counterexample of a failed fuzz test.
void showValue(const assembly_step &step, std::ostream &out);

/// Plays faults of the given kinds. Fails if a replica serves in two groups, if a group serves in part, or if a model has no group in the
/// end.
void checkFaults(const rc::Gen<int> &kinds);

} // namespace vetchpost::test
