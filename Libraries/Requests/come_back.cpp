// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/come_back.h"

#include <algorithm>
#include <array>

namespace vetchpost {

namespace {

struct come_back_time
{
    duration least;
    duration most;
};

/// By refusal_reach. Clients come back once or twice at most and wait for their whole answer meanwhile: coming back later than the cause
/// lasts makes them late, coming back sooner uses up their tries.
constexpr std::array<come_back_time, static_cast<std::size_t>(refusal_reach::count)> times = {{
    // A new connection leads to another daemon.
    {duration(10), duration(30)},
    {duration(200), duration(300)},
    {duration(200), duration(300)},
    // A group is repaired in about two seconds, but others of the model take requests on all the time.
    {duration(800), duration(1200)},
    {duration(800), duration(1200)},
}};

} // namespace

duration comeBackAfter(refusal_reach reach, std::uint64_t draw)
{
    const auto &time = times.at(static_cast<std::size_t>(reach));
    const auto width = static_cast<std::uint64_t>((time.most - time.least).count()) + 1;
    return time.least + duration(static_cast<std::int64_t>(draw % width));
}

duration comeBackOnceOpen(duration opensAfter, std::uint64_t draw)
{
    // Over a part of the wait, so that those who were refused together do not all come for the first place that opens.
    constexpr int spreadPart = 4;
    const auto least = std::max(opensAfter, times.at(static_cast<std::size_t>(refusal_reach::full_places)).least);
    const auto width = static_cast<std::uint64_t>((least / spreadPart).count()) + 1;
    return least + duration(static_cast<std::int64_t>(draw % width));
}

refusal_reach reachOfStaleConfiguration(bool hasAny, bool isServiceAnswering, bool isLeftBehind)
{
    if (isLeftBehind) {
        return refusal_reach::this_daemon;
    }
    if (!isServiceAnswering) {
        return refusal_reach::all_daemons;
    }
    return hasAny ? refusal_reach::this_daemon : refusal_reach::starting;
}

} // namespace vetchpost
