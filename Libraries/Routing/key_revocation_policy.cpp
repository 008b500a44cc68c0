// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/key_revocation_policy.h"

namespace vetchpost {

namespace {

/// Keys are refused this much before the revocation limit, to allow for differences between two machines' clocks.
constexpr duration keyMargin(200);
/// Fraction of the revocation limit after which clients are sent to other daemons.
constexpr double readinessFraction = 0.7;
/// The same for a daemon with a stale configuration, which is lower because a load balancer needs two seconds to notice and the other
/// daemons have capacity for its clients.
constexpr double staleReadinessFraction = 0.35;
/// A configuration that another daemon has reported is read within this time, even a large one over a small instance's link.
constexpr duration maxReadTime(1500);
/// Older reports from other daemons are ignored.
constexpr duration maxReportAge(2500);
/// The limit for a daemon that is cut off if the revocation limit is not strict.
constexpr duration maxLenientKeyAge(std::chrono::minutes(10));

duration fractionOf(const key_revocation_policy &policy, double part)
{
    return std::chrono::duration_cast<duration>(policy.revocation * part);
}

bool isYoungerThan(std::optional<instant> currentAt, duration limit, instant now)
{
    return currentAt && now - *currentAt < limit;
}

} // namespace

// Refusing all clients during an outage of the key-value service rejects requests that the replicas could still serve, so it is done only
// if the operator's settings ask for it.
bool areKeysUsable(const key_revocation_policy &policy, std::optional<instant> currentAt, instant now)
{
    return isYoungerThan(currentAt, policy.isStrict ? policy.revocation - keyMargin : maxLenientKeyAge, now);
}

// A daemon that the key-value service rejects while it serves others receives reports of a newer configuration but cannot read it. Unless
// it sends its clients to other daemons in time, it serves until the limit and then refuses each of them. They retry a second later and get
// late answers, although other daemons had capacity all the time.
bool isConfigurationStale(const configuration_freshness &freshness, instant now)
{
    if (!freshness.othersCurrentAt || now - *freshness.othersCurrentAt > maxReportAge) {
        return false;
    }
    return !freshness.currentAt || *freshness.othersCurrentAt - *freshness.currentAt > maxReadTime;
}

bool areKeysUsableForNewConnections(const key_revocation_policy &policy, const configuration_freshness &freshness, instant now)
{
    if (freshness.isUnconfirmable && !isConfigurationStale(freshness, now)) {
        // No other daemon would serve the clients for longer.
        return areKeysUsable(policy, freshness.currentAt, now);
    }
    const auto strictLimit = fractionOf(policy, isConfigurationStale(freshness, now) ? staleReadinessFraction : readinessFraction);
    return isYoungerThan(freshness.currentAt, policy.isStrict ? strictLimit : maxLenientKeyAge, now);
}

bool mustSendElsewhere(const key_revocation_policy &policy, const configuration_freshness &freshness, instant now)
{
    return policy.isStrict && isConfigurationStale(freshness, now)
        && !isYoungerThan(freshness.currentAt, fractionOf(policy, readinessFraction), now);
}

} // namespace vetchpost
