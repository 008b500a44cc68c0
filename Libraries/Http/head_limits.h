// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <atomic>
#include <cstddef>

namespace vetchpost {

/// Limits of the heads of requests. May change at any time.
struct head_limits
{
    /// In bytes.
    std::atomic<std::size_t> size = 65536;
    /// The time from the first byte of a head until it is complete.
    std::atomic<duration> timeout = duration(6000);
};

} // namespace vetchpost
