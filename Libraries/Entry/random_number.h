// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>

namespace vetchpost {

/// A random number for decisions that distribute requests. The generator is seeded anew for each thread, so that daemons do not all decide
/// alike.
std::uint64_t randomNumber();

} // namespace vetchpost
