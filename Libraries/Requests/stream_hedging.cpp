// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/stream_hedging.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// The weight of the newest time in the smoothed ones.
constexpr double newestWeight = 0.1;
/// Times before this many have been recorded are not relied on.
constexpr int minTimes = 8;
/// A pause is unusual from this multiple of the usual one on, and beyond this many deviations. Engines read prompts of other requests
/// between the passes of a stream, which doubles a pause now and then.
constexpr double unusualPauses = 3;
constexpr double unusualDeviations = 4;
/// The lowest multiple and number of deviations, for groups whose usual pause leaves little time for the second group.
constexpr double minUnusualPauses = 2.2;
constexpr double minUnusualDeviations = 3;
/// The second group is likely to need no more than this part of the usual time to the first event: it is chosen for its free slots.
constexpr double likelyFirstEventShare = 0.8;
/// The first event depends on the length of the prompt and varies more; fewer deviations keep enough time for the second group.
constexpr double unusualFirstDeviations = 3;
constexpr double minFirstDeviations = 2;
/// Left for the way of an event to the client.
constexpr duration margin(10);
/// The lower limit of TCP's retransmission timeout on common systems, and the longest pause that a single one explains beyond the usual
/// pause. Longer ones come from stalled groups.
constexpr duration minRetransmission(195);
constexpr duration maxRetransmission(260);
/// The time after which a stalled group has been found: the coordinator probes its members, and warns all daemons.
constexpr duration confirmationTime(2000);
/// The habits of a group without streams for this time are forgotten.
constexpr duration groupMemory(60000);
constexpr std::size_t maxGroups = 512;
constexpr std::size_t maxUnconfirmed = 64;

duration asDuration(double milliseconds)
{
    return duration(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

bool isRetransmission(duration pause, const usual_time &usual)
{
    return pause >= minRetransmission && pause <= maxRetransmission + asDuration(usual.mean);
}

/// The habits of a group once they are reliable, otherwise those of the model.
const usual_time &usualPause(const stream_habits &habits, const instance_id &head)
{
    const auto found = habits.groups.find(head);
    return found != habits.groups.end() && found->second.pause.count >= minTimes ? found->second.pause : habits.pause;
}

void forgetOldGroups(stream_habits &habits, instant now)
{
    if (habits.groups.size() > maxGroups) {
        std::erase_if(habits.groups, [&](const auto &entry) { return now - entry.second.updatedAt > groupMemory; });
    }
}

} // namespace

void recordTime(usual_time &known, duration time)
{
    const auto value = static_cast<double>(time.count());
    if (known.count == 0) {
        known = {value, value / 2, 1};
        return;
    }
    const auto weight = std::max(newestWeight, 1.0 / (known.count + 1));
    // A single stall says little about the habit, and would hide the next unusual pauses.
    const auto difference = (known.count < minTimes ? value : std::min(value, unusualPauses * known.mean)) - known.mean;
    known.mean += weight * difference;
    known.deviation += weight * (std::abs(difference) - known.deviation);
    known.count = std::min(known.count + 1, minTimes);
}

// Pauses that a lost packet explains do not belong to the habit of a group: they would raise the time after which one is recognised.
bool recordPause(stream_habits &habits, const instance_id &head, duration pause, instant now)
{
    const auto &usual = usualPause(habits, head);
    if (usual.count >= minTimes && isRetransmission(pause, usual) && static_cast<double>(pause.count()) > unusualPauses * usual.mean) {
        return true;
    }
    recordTime(habits.pause, pause);
    auto &group = habits.groups[head];
    recordTime(group.pause, pause);
    group.updatedAt = now;
    forgetOldGroups(habits, now);
    return false;
}

void recordRetransmission(observed_losses &losses, instant at)
{
    losses.retransmissions.push_back(at);
    while (losses.retransmissions.size() > minRetransmissions) {
        losses.retransmissions.pop_front();
    }
}

void recordFirstEventTime(stream_habits &habits, duration time)
{
    recordTime(habits.firstEvent, time);
}

void recordHedgeWon(observed_losses &losses, const instance_id &head, instant now)
{
    if (losses.unconfirmed.size() < maxUnconfirmed) {
        losses.unconfirmed.push_back({head, now});
    }
}

void confirmHedges(observed_losses &losses, const std::function<bool(const instance_id &)> &isServing, instant now)
{
    while (!losses.unconfirmed.empty() && now - losses.unconfirmed.front().at >= confirmationTime) {
        if (isServing(losses.unconfirmed.front().head)) {
            recordRetransmission(losses, losses.unconfirmed.front().at);
        }
        losses.unconfirmed.pop_front();
    }
}

bool losesPackets(const observed_losses &losses, instant now)
{
    const auto recent = std::count_if(
        losses.retransmissions.begin(), losses.retransmissions.end(), [&](instant at) { return now - at < retransmissionMemory; });
    return static_cast<std::size_t>(recent) >= minRetransmissions;
}

std::optional<duration> pauseBeforeHedge(const stream_habits &habits, const instance_id &head, duration pauseLimit)
{
    const auto &usual = usualPause(habits, head);
    if (usual.count < minTimes || habits.firstEvent.count < minTimes) {
        return std::nullopt;
    }
    const auto unusual = asDuration(std::max(unusualPauses * usual.mean, usual.mean + unusualDeviations * usual.deviation));
    const auto earliest = asDuration(std::max(minUnusualPauses * usual.mean, usual.mean + minUnusualDeviations * usual.deviation));
    const auto latest = pauseLimit - margin - asDuration(likelyFirstEventShare * habits.firstEvent.mean);
    return earliest <= latest ? std::optional(std::min(unusual, latest)) : std::nullopt;
}

std::optional<duration> firstEventBeforeHedge(const stream_habits &habits, duration timeLeft)
{
    const auto &usual = habits.firstEvent;
    if (usual.count < minTimes) {
        return std::nullopt;
    }
    const auto unusual = asDuration(usual.mean + unusualFirstDeviations * usual.deviation);
    const auto earliest = asDuration(usual.mean + minFirstDeviations * usual.deviation);
    const auto latest = timeLeft - margin - asDuration(usual.mean);
    return earliest <= latest ? std::optional(std::min(unusual, latest)) : std::nullopt;
}

} // namespace vetchpost
