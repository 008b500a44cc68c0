// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_client.h"
#include "Libraries/Requests/claim_shard.h"

#include <optional>
#include <variant>
#include <vector>

/// Writes the claims of one shard in batches. docs/design/CLAIMS.md.
namespace vetchpost {

struct pending_claim
{
    claim_operation operation;
    /// When the asker stops waiting; a claim only.
    instant deadline;
};

/// The final word on a claim.
struct claim_answer
{
    request_id owner;
    /// Nothing: it could not be claimed and will not be, so that the request must not run.
    std::optional<claim_verdict> verdict;
    /// The claim that decided it.
    claim_record decidedBy;
};

struct read_shard
{
};

struct write_shard
{
    key_revision expected;
    std::string text;
};

using claim_action = std::variant<read_shard, write_shard, claim_answer>;

struct claim_batcher
{
    unsigned shard = 0;
    duration batchPeriod{50};
    duration retryPause{500};
    /// The shard as it was last read or written, with its revision; unknown at first and after every doubt.
    std::optional<claim_shard> known;
    key_revision knownRevision;
    std::vector<pending_claim> waiting;
    /// What the write under way contains, the shard that it makes, and what the askers are told once it took effect.
    std::vector<pending_claim> writing;
    claim_shard written;
    std::vector<claim_answer> answers;
    /// A write's outcome is not known: until another write of this shard is seen to take effect, it may still come.
    bool isInDoubt = false;
    bool isCalling = false;
    instant nextCall;
};

// Commands: each returns what is to be done next.

void addClaim(claim_batcher &batcher, const pending_claim &claim);
std::vector<claim_action> tick(claim_batcher &batcher, instant now, std::int64_t calendarNow);
std::vector<claim_action> shardRead(claim_batcher &batcher, const std::optional<key_value_entry> &entry, instant now);
std::vector<claim_action> shardWritten(claim_batcher &batcher, const swap_result &result, instant now);

} // namespace vetchpost
