// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/claim_batcher.h"

#include <algorithm>

namespace vetchpost {

namespace {

bool isClaim(const pending_claim &claim)
{
    return claim.operation.change == claim_change::claim;
}

/// Refuses the claims whose requests have stopped waiting. A refused claim may be part of a write whose outcome is unknown, so it is
/// withdrawn as soon as the service answers again.
std::vector<claim_action> refuseExpired(claim_batcher &batcher, instant now)
{
    std::vector<claim_action> actions;
    for (auto &claim : batcher.waiting) {
        if (isClaim(claim) && claim.deadline <= now) {
            actions.push_back(claim_result{claim.operation.record.owner, std::nullopt, {}});
            claim.operation.change = claim_change::withdraw;
        }
    }
    return actions;
}

/// Applies all waiting operations to the known shard, and returns the write.
write_shard beginWrite(claim_batcher &batcher, std::int64_t calendarNow)
{
    batcher.writing = std::move(batcher.waiting);
    batcher.waiting.clear();
    batcher.results.clear();
    batcher.written = *batcher.knownShard;
    expireClaims(batcher.written, calendarNow);
    for (const auto &claim : batcher.writing) {
        claim_result claimResult;
        claimResult.owner = claim.operation.record.owner;
        claimResult.verdict = applyClaim(batcher.written, claim.operation, claimResult.decidedBy);
        if (isClaim(claim)) {
            batcher.results.push_back(std::move(claimResult));
        }
    }
    batcher.isCallPending = true;
    return write_shard{batcher.knownShardRevision, toText(batcher.written)};
}

/// Makes the shard be read again before the next write.
void forgetShard(claim_batcher &batcher)
{
    if (batcher.knownShard) {
        batcher.lastKnown = std::move(*batcher.knownShard);
        batcher.knownShard.reset();
    }
}

/// Moves the operations of a failed write back to the front of the waiting ones.
void requeueWriting(claim_batcher &batcher)
{
    batcher.writing.insert(batcher.writing.end(), batcher.waiting.begin(), batcher.waiting.end());
    batcher.waiting = std::move(batcher.writing);
    batcher.writing.clear();
}

} // namespace

void addClaim(claim_batcher &batcher, const pending_claim &claim)
{
    batcher.waiting.push_back(claim);
}

void recordEra(claim_batcher &batcher, store_era era)
{
    if (era <= batcher.era) {
        return;
    }
    forgetShard(batcher);
    batcher.mustRestore = batcher.era != store_era() && !batcher.lastKnown.claims.empty();
    batcher.era = era;
}

std::vector<claim_action> tick(claim_batcher &batcher, instant now, std::int64_t calendarNow)
{
    auto actions = refuseExpired(batcher, now);
    const bool hasWork = !batcher.waiting.empty() || batcher.isInDoubt || batcher.mustRestore;
    if (batcher.isCallPending || !hasWork || now < batcher.nextCall) {
        return actions;
    }
    if (!batcher.knownShard) {
        batcher.isCallPending = true;
        actions.emplace_back(read_shard{});
        return actions;
    }
    batcher.nextCall = now + batcher.batchPeriod;
    actions.emplace_back(beginWrite(batcher, calendarNow));
    return actions;
}

std::vector<claim_action> onShardRead(claim_batcher &batcher, const std::optional<key_value_entry> &entry, instant now)
{
    batcher.isCallPending = false;
    auto shard = entry ? claimShardFrom(entry->value) : std::nullopt;
    if (!shard) {
        batcher.nextCall = now + batcher.retryPause;
        return {};
    }
    if (batcher.mustRestore) {
        addLostClaims(*shard, batcher.lastKnown);
    }
    batcher.knownShard = std::move(shard);
    batcher.knownShardRevision = entry->changed;
    return {};
}

std::vector<claim_action> onShardWritten(claim_batcher &batcher, const swap_result &result, instant now)
{
    batcher.isCallPending = false;
    if (result.outcome == swap_outcome::applied) {
        // The revision has increased, so no earlier write of this daemon can be applied any more.
        batcher.isInDoubt = false;
        batcher.mustRestore = false;
        batcher.knownShard = std::move(batcher.written);
        batcher.knownShardRevision = result.changed;
        batcher.writing.clear();
        return {batcher.results.begin(), batcher.results.end()};
    }
    requeueWriting(batcher);
    if (result.outcome == swap_outcome::not_sent) {
        batcher.nextCall = now + batcher.retryPause;
        return {};
    }
    if (result.outcome == swap_outcome::unknown) {
        batcher.isInDoubt = true;
        batcher.nextCall = now + batcher.retryPause;
    }
    forgetShard(batcher);
    return {};
}

} // namespace vetchpost
