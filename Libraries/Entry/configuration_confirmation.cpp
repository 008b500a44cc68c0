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
    if (era <= confirmation.era) {
        return;
    }
    // A daemon that starts cannot tell when the present era began.
    const bool isFirst = confirmation.era == store_era();
    if (!(isFirst && confirmation.policy.isFirstStart)) {
        confirmation.restoredAt = now;
    }
    confirmation.era = era;
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
    const auto deadline = rewriteDeadline(confirmation);
    const bool isKnown = confirmation.era != store_era() && confirmation.settledIn != confirmation.era;
    return isKnown && (!deadline || now >= *deadline + settlingMargin);
}

bool isAwaitingRewrite(const configuration_confirmation &confirmation, instant now)
{
    const auto deadline = rewriteDeadline(confirmation);
    const bool isOver = !deadline || now >= *deadline;
    const bool isRewritten = confirmation.rewrittenIn == confirmation.era || confirmation.settledIn == confirmation.era;
    return confirmation.policy.awaitsRewrite && !isOver && !isRewritten;
}

std::optional<instant> rewriteDeadline(const configuration_confirmation &confirmation)
{
    return confirmation.restoredAt ? std::optional(*confirmation.restoredAt + operatorRewriteTime) : std::nullopt;
}

bool isConclusive(const configuration_confirmation &confirmation, key_revision revision, instant asked)
{
    // An answer from before the service came back tells what was the newest when it was asked for.
    const bool isOfEarlierEra = !revision.isNone() && revision.era() < confirmation.era;
    return isOfEarlierEra || !isAwaitingRewrite(confirmation, asked);
}

} // namespace vetchpost
