// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

namespace vetchpost {

/// A random number for a decision that spreads requests; different from daemon to daemon.
std::uint64_t drawNumber();

} // namespace vetchpost
