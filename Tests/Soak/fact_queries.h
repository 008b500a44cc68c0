// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_checks.h"

#include <map>

namespace vetchpost::test {

/// Events of one kind by the id of the attempt, in the order of the recorded facts.
using events_by_attempt = std::map<request_id, std::vector<const platform_event *>>;

/// Returns the events of kind \a what, grouped by attempt. Events without an attempt are left out.
events_by_attempt eventsByAttempt(const soak_facts &facts, const std::string &what);
/// Returns pointers into \a facts for all attempts, by their ids.
std::map<request_id, const attempt_fact *> attemptsById(const soak_facts &facts);

/// Returns whether the disturbance was in effect at any time in [from, until].
bool overlaps(const disturbance &fault, instant from, instant until);
/// Returns whether the disturbance may affect the daemon with number \a daemon.
bool mayAffect(const disturbance &fault, int daemon);
/// Returns whether any disturbance of replicas was in effect in [from, until].
bool areReplicasDisturbed(const soak_facts &facts, instant from, instant until);
/// Returns whether neither the daemon's process, its client connections, the store nor the daemon's link to it was disturbed during the
/// settling time before \a at.
bool isUndisturbed(const soak_facts &facts, const soak_bounds &bounds, int daemon, instant at);

} // namespace vetchpost::test
