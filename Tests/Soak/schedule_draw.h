// SPDX-License-Identifier: Apache-2.0
// What the plans of all kinds of faults draw their times and targets from.
#pragma once

#include "Tests/Soak/soak_schedule.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

namespace vetchpost::test {

/// Traffic runs without faults for this long at first.
constexpr duration initialQuietTime(2000);

/// Random numbers that depend on the seed alone. The results of the standard distributions differ between libraries, so they are not used.
class deterministic_random
{
public:
    explicit deterministic_random(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    /// Returns a number from 0 to \a limit - 1; 0 if \a limit is less than 1.
    int below(std::int64_t limit)
    {
        return static_cast<int>(m_generator() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit)));
    }

    duration between(duration minimum, duration maximum)
    {
        return minimum + duration(below((maximum - minimum).count() + 1));
    }

    template <class List>
    void shuffle(List &list)
    {
        for (auto left = list.size(); left > 1; --left) {
            std::swap(list[left - 1], list[static_cast<std::size_t>(below(static_cast<std::int64_t>(left)))]);
        }
    }

private:
    std::mt19937_64 m_generator;
};

/// Returns the part of the time with faults that each of \a count events has for itself.
inline duration timeForEach(const schedule_size &size, int count)
{
    return count > 0 ? (size.length - recoveryLength - initialQuietTime) / count : duration(0);
}

} // namespace vetchpost::test
