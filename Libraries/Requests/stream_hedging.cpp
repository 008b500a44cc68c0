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

void addRetransmission(stream_habits &habits, instant at)
{
    habits.retransmissions.push_back(at);
    while (habits.retransmissions.size() > minRetransmissions) {
        habits.retransmissions.pop_front();
    }
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
void recordPause(stream_habits &habits, const instance_id &head, duration pause, instant now)
{
    const auto &usual = usualPause(habits, head);
    if (usual.count >= minTimes && isRetransmission(pause, usual) && static_cast<double>(pause.count()) > unusualPauses * usual.mean) {
        addRetransmission(habits, now);
        return;
    }
    recordTime(habits.pause, pause);
    auto &group = habits.groups[head];
    recordTime(group.pause, pause);
    group.updatedAt = now;
    forgetOldGroups(habits, now);
}

void recordFirstEventTime(stream_habits &habits, duration time)
{
    recordTime(habits.firstEvent, time);
}

void recordHedgeWon(stream_habits &habits, const instance_id &head, instant now)
{
    if (habits.unconfirmed.size() < maxUnconfirmed) {
        habits.unconfirmed.push_back({head, now});
    }
}

void confirmHedges(stream_habits &habits, const std::function<bool(const instance_id &)> &isServing, instant now)
{
    while (!habits.unconfirmed.empty() && now - habits.unconfirmed.front().at >= confirmationTime) {
        if (isServing(habits.unconfirmed.front().head)) {
            addRetransmission(habits, habits.unconfirmed.front().at);
        }
        habits.unconfirmed.pop_front();
    }
}

bool losesPackets(const stream_habits &habits, instant now)
{
    const auto recent = std::count_if(
        habits.retransmissions.begin(), habits.retransmissions.end(), [&](instant at) { return now - at < retransmissionMemory; });
    return static_cast<std::size_t>(recent) >= minRetransmissions;
}

std::optional<duration> pauseBeforeHedge(const stream_habits &habits, const instance_id &head, duration pauseLimit)
{
    const auto &usual = usualPause(habits, head);
    if (usual.count < minTimes || habits.firstEvent.count < minTimes) {
        return std::nullopt;
    }
    const auto unusual = asDuration(std::max(unusualPauses * usual.mean, usual.mean + unusualDeviations * usual.deviation));
    const auto latest = pauseLimit - margin - asDuration(habits.firstEvent.mean);
    return unusual <= latest ? std::optional(unusual) : std::nullopt;
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
