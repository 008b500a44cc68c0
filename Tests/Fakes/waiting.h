// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <functional>
#include <thread>

namespace vetchpost::test {

/// Polls until the condition holds or the time is over. Returns the last value of the condition, which may have effects.
inline bool isWithin(duration time, const std::function<bool()> &condition)
{
    constexpr duration pollPeriod(5);
    const auto end = monotonicNow() + time;
    bool holds = condition();
    while (!holds && monotonicNow() < end) {
        std::this_thread::sleep_for(pollPeriod);
        holds = condition();
    }
    return holds;
}

} // namespace vetchpost::test
