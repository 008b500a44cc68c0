// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>

namespace vetchpost {

/// The place of a daemon among all, by which they take turns at what only one of them should do at a time.
struct daemon_turn
{
    std::size_t rank = 0;
    std::size_t daemons = 1;
};

} // namespace vetchpost
