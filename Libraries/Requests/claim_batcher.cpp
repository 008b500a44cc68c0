// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/claim_batcher.h"

#include <algorithm>

namespace vetchpost {

namespace {

bool isClaim(const pending_claim &claim)
{
    return claim.operation.change == claim_change::claim;
}

/// A claim whose asker stops waiting is refused for good. It may be in a write whose outcome is not known, so that it is
/// withdrawn as soon as the service answers again.
std::vector<claim_action> refuseExpired(claim_batcher &batcher, instant now)
{
    std::vector<claim_action> actions;
    for (auto &claim : batcher.waiting) {
        if (isClaim(claim) && claim.deadline <= now) {
            actions.push_back(claim_answer{claim.operation.record.owner, std::nullopt, {}});
            claim.operation.change = claim_change::withdraw;
        }
    }
    return actions;
}

/// Writes everything that waits on top of the known shard.
write_shard beginWrite(claim_batcher &batcher, std::int64_t calendarNow)
{
    batcher.writing = std::move(batcher.waiting);
    batcher.waiting.clear();
    batcher.answers.clear();
    batcher.written = *batcher.known;
    forgetOldClaims(batcher.written, calendarNow);
    for (const auto &claim : batcher.writing) {
        claim_answer answer;
        answer.owner = claim.operation.record.owner;
        answer.verdict = applyClaim(batcher.written, claim.operation, answer.decidedBy);
        if (isClaim(claim)) {
            batcher.answers.push_back(std::move(answer));
        }
    }
    batcher.isCalling = true;
    return write_shard{batcher.knownRevision, toText(batcher.written)};
}

/// Takes what was being written back to the front of what waits.
void takeBack(claim_batcher &batcher)
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

std::vector<claim_action> tick(claim_batcher &batcher, instant now, std::int64_t calendarNow)
{
    auto actions = refuseExpired(batcher, now);
    const bool hasWork = !batcher.waiting.empty() || batcher.isInDoubt;
    if (batcher.isCalling || !hasWork || now < batcher.nextCall) {
        return actions;
    }
    if (!batcher.known) {
        batcher.isCalling = true;
        actions.emplace_back(read_shard{});
        return actions;
    }
    batcher.nextCall = now + batcher.batchPeriod;
    actions.emplace_back(beginWrite(batcher, calendarNow));
    return actions;
}

std::vector<claim_action> shardRead(claim_batcher &batcher, const std::optional<key_value_entry> &entry, instant now)
{
    batcher.isCalling = false;
    auto shard = entry ? claimShardFrom(entry->value) : std::nullopt;
    if (!shard) {
        batcher.nextCall = now + batcher.retryPause;
        return {};
    }
    batcher.known = std::move(shard);
    batcher.knownRevision = entry->changed;
    return {};
}

std::vector<claim_action> shardWritten(claim_batcher &batcher, const swap_result &result, instant now)
{
    batcher.isCalling = false;
    if (result.outcome == swap_outcome::applied) {
        // The revision has risen: no earlier write of ours can take effect any more.
        batcher.isInDoubt = false;
        batcher.known = std::move(batcher.written);
        batcher.knownRevision = result.changed;
        batcher.writing.clear();
        return {batcher.answers.begin(), batcher.answers.end()};
    }
    takeBack(batcher);
    if (result.outcome == swap_outcome::not_sent) {
        batcher.nextCall = now + batcher.retryPause;
        return {};
    }
    if (result.outcome == swap_outcome::unknown) {
        batcher.isInDoubt = true;
        batcher.nextCall = now + batcher.retryPause;
    }
    batcher.known.reset();
    return {};
}

} // namespace vetchpost
