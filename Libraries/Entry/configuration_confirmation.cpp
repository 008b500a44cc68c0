// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/configuration_confirmation.h"

#include "Libraries/Entry/replica_entries.h"

namespace vetchpost {

namespace {

/// The operator writes again within the time that the platform promises for the replicas.
constexpr duration operatorRewriteTime = lapsedGrace;
/// Allowance for orders that a former coordinator has sent within its lost lease.
constexpr duration settlingMargin(1000);

} // namespace

void recordEra(configuration_confirmation &confirmation, store_era era, instant now)
{
    vetchpost::recordEra(confirmation.restoration, era, confirmation.policy.isFirstStart, now);
}

void recordVersion(configuration_confirmation &confirmation, std::uint64_t version, key_revision revision)
{
    if (version != confirmation.version) {
        confirmation.version = version;
        confirmation.firstFound = revision;
        confirmation.isFoundOnce = true;
        return;
    }
    if (revision.number() == confirmation.firstFound.number()) {
        return;
    }
    // A copy holds a version at the number that it had. Of two numbers that it had, a copy may hold either.
    if (confirmation.isFoundOnce && revision.era() > confirmation.firstFound.era()) {
        confirmation.rewrittenIn = revision.era();
    }
    confirmation.isFoundOnce = false;
}

bool maySettle(const configuration_confirmation &confirmation, instant now)
{
    const auto era = confirmation.restoration.era;
    const bool isDeclared = confirmation.settledIn == era;
    return era != store_era() && !isDeclared && hasSettled(confirmation.restoration, operatorRewriteTime + settlingMargin, now);
}

bool isAwaitingRewrite(const configuration_confirmation &confirmation, instant now)
{
    const auto era = confirmation.restoration.era;
    const bool isRewritten = confirmation.rewrittenIn == era || confirmation.settledIn == era;
    return confirmation.policy.awaitsRewrite && !isRewritten && !hasSettled(confirmation.restoration, operatorRewriteTime, now);
}

std::optional<instant> rewriteDeadline(const configuration_confirmation &confirmation)
{
    const auto since = confirmation.restoration.since;
    return since ? std::optional(*since + operatorRewriteTime) : std::nullopt;
}

bool isConclusive(const configuration_confirmation &confirmation, key_revision revision, instant asked)
{
    // An answer from before the service came back tells what was the newest when it was asked for.
    const bool isOfEarlierEra = !revision.isNone() && revision.era() < confirmation.restoration.era;
    return isOfEarlierEra || !isAwaitingRewrite(confirmation, asked);
}

} // namespace vetchpost
