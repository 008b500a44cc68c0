// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/cold_pacing.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// By how many standard deviations the mean of the sum stays below the bound. With 350 daemons that all send as often as they may, a cold
/// time of three seconds exceeds the bound with a probability of about 1e-7 (docs/design/COLD-REPLICAS.md).
constexpr double deviationsBelowBound = 7;
/// A replica that accepts less than this (requests per second) still gets as much, so that the interval stays finite.
constexpr double minPacedRate = 0.01;
constexpr double millisecondsPerSecond = 1000;

/// Returns a random duration from 0 up to \a interval.
duration randomPart(duration interval, std::uint64_t draw)
{
    return duration(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(interval.count())));
}

duration intervalOf(const cold_pacing &pacing, const cold_replica &replica, instant now)
{
    const auto daemons = pacingDaemons(pacing.daemons, now);
    return pacingInterval(pacedRate(replica.perSecond, pacing.bound, daemons, pacing.share), daemons);
}

/// Returns the replica's state, which begins anew if the replica is not cold; nullptr if the report has no effect.
cold_replica *findOrBegin(cold_pacing &pacing, const cold_report &report, std::uint64_t draw, instant now, bool &isNew)
{
    const auto known = pacing.replicas.find(report.replica);
    isNew = known == pacing.replicas.end() || known->second.coldUntil() <= now;
    if (!isNew) {
        return &known->second;
    }
    if (report.until <= now || !(report.perSecond > 0)) {
        isNew = false;
        return nullptr;
    }
    cold_replica begun;
    begun.perSecond = report.perSecond;
    begun.nextSend = now + randomPart(intervalOf(pacing, begun, now), draw);
    return &(pacing.replicas[report.replica] = begun);
}

} // namespace

void recordDaemons(daemon_count &count, std::optional<int> daemons, instant now)
{
    if (!daemons || *daemons < 1) {
        return;
    }
    if (!count.largest) {
        count.firstReported = now;
    }
    count.largest = std::max(count.largest.value_or(*daemons), *daemons);
}

int pacingDaemons(const daemon_count &count, instant now)
{
    if (!count.largest) {
        return assumedColdDaemons;
    }
    return now - count.firstReported < daemonCountSettleTime ? std::max(*count.largest, assumedColdDaemons) : *count.largest;
}

// A daemon sends at most rate / daemons + 1 requests in a second, so that few daemons cannot exceed the bound by chance. The sum of n
// daemons with independent phases has the mean m and, if each sends at most once in a second, the variance m (1 - m / n). The largest mean
// whose distance from the bound is z deviations solves (bound - m)^2 = z^2 m (1 - m / n).
double pacedRate(double perSecond, const cold_bound &bound, int daemons, double share)
{
    const auto most = std::max(0.0, bound.overrun * perSecond + bound.slack);
    if (perSecond + daemons <= most) {
        return std::max(minPacedRate, perSecond * share);
    }
    const auto z2 = deviationsBelowBound * deviationsBelowBound;
    const auto a = 1 + z2 / std::max(1, daemons);
    const auto b = 2 * most + z2;
    const auto discriminant = b * b - 4 * a * most * most;
    const auto mean = discriminant < 0 ? perSecond : (b - std::sqrt(discriminant)) / (2 * a);
    return std::max(minPacedRate, std::min(perSecond, mean) * share);
}

duration pacingInterval(double pacedPerSecond, int daemons)
{
    const auto milliseconds = std::ceil(std::max(1, daemons) * millisecondsPerSecond / std::max(minPacedRate, pacedPerSecond));
    return std::max(duration(1), duration(static_cast<std::int64_t>(milliseconds)));
}

bool applyEntry(cold_pacing &pacing, const cold_report &report, std::uint64_t draw, instant now)
{
    if (!(report.perSecond > 0)) {
        pacing.replicas.erase(report.replica);
        return false;
    }
    bool isNew = false;
    auto *replica = findOrBegin(pacing, report, draw, now, isNew);
    if (replica != nullptr) {
        replica->coldUntilByEntry = report.until;
        replica->perSecond = report.perSecond;
    }
    return isNew;
}

bool applyHeader(cold_pacing &pacing, const cold_report &report, std::uint64_t draw, instant now)
{
    bool isNew = false;
    auto *replica = findOrBegin(pacing, report, draw, now, isNew);
    if (replica != nullptr) {
        replica->coldUntilByHeader = std::max(replica->coldUntilByHeader, std::min(report.until, now + maxHeaderColdTime));
    }
    return isNew;
}

std::vector<replica_key> removeWarm(cold_pacing &pacing, instant now)
{
    std::vector<replica_key> warm;
    for (const auto &[key, replica] : pacing.replicas) {
        if (replica.coldUntil() <= now) {
            warm.push_back(key);
        }
    }
    for (const auto &key : warm) {
        pacing.replicas.erase(key);
    }
    return warm;
}

std::optional<instant> coldBlockUntil(const cold_pacing &pacing, const replica_key &replica, instant now)
{
    const auto known = pacing.replicas.find(replica);
    return known == pacing.replicas.end() || known->second.openAt() <= now ? std::nullopt : std::optional(known->second.openAt());
}

bool takeSend(cold_pacing &pacing, const replica_key &replica, instant now)
{
    const auto known = pacing.replicas.find(replica);
    if (known == pacing.replicas.end() || known->second.coldUntil() <= now) {
        return true;
    }
    if (now < known->second.nextSend) {
        return false;
    }
    known->second.nextSend = now + intervalOf(pacing, known->second, now);
    return true;
}

std::optional<cold_reservation> reserveSend(cold_pacing &pacing, const std::vector<replica_key> &replicas, instant now, instant until)
{
    const replica_key *first = nullptr;
    auto at = until;
    for (const auto &key : replicas) {
        const auto known = pacing.replicas.find(key);
        const auto openAt = known == pacing.replicas.end() ? now : std::max(now, known->second.openAt());
        if (openAt < at || (first == nullptr && openAt <= at)) {
            first = &key;
            at = openAt;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    const auto known = pacing.replicas.find(*first);
    if (known != pacing.replicas.end() && at < known->second.coldUntil()) {
        known->second.nextSend = at + intervalOf(pacing, known->second, now);
    }
    return cold_reservation{*first, at};
}

} // namespace vetchpost
