// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/rate_permits.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Capacity of a bucket in seconds of the limit, for bursty demand.
constexpr double burstSeconds = 0.25;
/// A daemon is counted among those that share a limit for this long after its last permit request.
constexpr duration requesterLifetime(2000);
constexpr duration minWait(5);
/// The longest time that a daemon waits before it requests permits again; the limit may have changed.
constexpr duration maxPermitWait(5000);

double capacityOf(double perSecond)
{
    return std::max(1.0, perSecond * burstSeconds);
}

void refill(permit_bucket &bucket, double perSecond, instant now)
{
    if (bucket.filledAt != instant()) {
        bucket.available += bucket.perSecond * secondsOf(now - bucket.filledAt);
    }
    bucket.perSecond = perSecond;
    bucket.filledAt = now;
    bucket.available = std::min(bucket.available, capacityOf(perSecond));
}

/// Returns how long a daemon should wait for a permit: long enough for the other waiting daemons before it to get theirs.
duration waitOf(const permit_bucket &bucket)
{
    const auto missing = std::max(0.0, 1 - bucket.available);
    const auto others = static_cast<double>(bucket.requesters.size()) - 1;
    const auto seconds = (missing + others / 2) / bucket.perSecond;
    const auto wait = duration(static_cast<std::int64_t>(std::ceil(std::min(seconds, secondsOf(maxPermitWait)) * 1000)));
    return std::clamp(wait, minWait, maxPermitWait);
}

template <class Entries>
void eraseUnlimited(Entries &entries, const replica_constraints &table)
{
    std::erase_if(entries, [&](const auto &entry) {
        const auto *known = findConstraint(table, entry.first);
        return known == nullptr || !known->rateLimit;
    });
}

} // namespace

// Within T seconds a bucket issues at most limit x T + its capacity. A permit may be used up to one second after it was issued, and
// connecting takes up to a quarter of a second: within four seconds a replica receives at most limit x 5.5 + 1 requests, fewer than the
// allowed limit x 6 + 5.
permit_response issuePermits(permit_issuer &issuer, const permit_request &request, double perSecond, const endpoint &requester, instant now)
{
    auto &bucket = issuer.buckets[request.report.replica];
    refill(bucket, perSecond, now);
    std::erase_if(bucket.requesters, [&](const auto &entry) { return now - entry.second >= requesterLifetime; });
    bucket.requesters[requester] = now;
    const auto wanted = std::clamp(request.wanted, 1, maxPermitsPerResponse);
    const auto granted = std::min(wanted, static_cast<int>(bucket.available));
    bucket.available -= granted;
    return {request.nonce, request.report.replica, granted, granted < wanted ? waitOf(bucket) : duration()};
}

permit_response answerPermitRequest(
    permit_issuer &issuer, replica_constraints &table, const permit_request &request, const endpoint &requester, instant now)
{
    mergeReport(table, request.report, now);
    const auto *known = findConstraint(table, request.report.replica);
    // If the table has a later report that there is no limit, the requesting daemon will receive it; until then its own report applies.
    const auto limit = known != nullptr && known->rateLimit ? known->rateLimit : request.report.rateLimit;
    return issuePermits(issuer, request, limit.value_or(minRateLimit), requester, now);
}

bool hasPermit(const permit_holder &holder, const replica_key &replica, instant now)
{
    const auto found = holder.held.find(replica);
    return found != holder.held.end() && found->second.count > 0 && now < found->second.validUntil;
}

bool consumePermit(permit_holder &holder, const replica_key &replica, instant now)
{
    if (!hasPermit(holder, replica, now)) {
        return false;
    }
    --holder.held.at(replica).count;
    return true;
}

std::optional<permit_request> nextPermitRequest(permit_holder &holder, const replica_key &replica, instant now)
{
    auto &held = holder.held[replica];
    held.wanted = std::min(held.wanted + 1, maxPermitsPerResponse);
    const bool isPending = held.pendingNonce && now - held.requestedAt < permitRequestTimeout;
    if (isPending || now < held.nextRequestAt) {
        return std::nullopt;
    }
    permit_request request{++holder.lastNonce, std::exchange(held.wanted, 0), {replica, std::nullopt, {}, false}};
    held.pendingNonce = request.nonce;
    held.requestedAt = now;
    return request;
}

// A permit's lifetime begins with the request, so that a response that was read late because the daemon was suspended grants nothing.
bool acceptResponse(permit_holder &holder, const permit_response &response, instant now)
{
    const auto found = holder.held.find(response.replica);
    if (found == holder.held.end() || found->second.pendingNonce != response.nonce) {
        return false;
    }
    auto &held = found->second;
    const auto until = held.requestedAt + permitLifetime;
    if (held.count > 0 && now < held.validUntil) {
        // The earlier permits expire first; the shorter time is applied to all.
        held.validUntil = std::min(held.validUntil, until);
        held.count += response.granted;
    } else {
        held.validUntil = until;
        held.count = response.granted;
    }
    held.nextRequestAt = now + std::clamp(response.wait, duration(), maxPermitWait);
    held.pendingNonce.reset();
    return true;
}

instant permitExpectedAt(const permit_holder &holder, const replica_key &replica, instant now)
{
    const auto found = holder.held.find(replica);
    return found == holder.held.end() ? now : std::max(now, found->second.nextRequestAt);
}

void removeUnlimited(permit_issuer &issuer, const replica_constraints &table)
{
    eraseUnlimited(issuer.buckets, table);
}

void removeUnlimited(permit_holder &holder, const replica_constraints &table)
{
    eraseUnlimited(holder.held, table);
}

} // namespace vetchpost
