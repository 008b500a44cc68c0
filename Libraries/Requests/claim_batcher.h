// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_client.h"
#include "Libraries/Requests/claim_shard.h"

#include <optional>
#include <variant>
#include <vector>

/// Writes the claims of one shard to the key-value service in batches; the design is described in docs/design/CLAIMS.md.
namespace vetchpost {

struct pending_claim
{
    claim_operation operation;
    /// When the request stops waiting for its claim; set for claims alone.
    instant deadline;
};

/// The final result of a claim.
struct claim_result
{
    request_id owner;
    /// Nothing if the key could not be claimed and will not be later, so that the request must not run.
    std::optional<claim_verdict> verdict;
    /// The record that determined the verdict.
    claim_record decidedBy;
};

/// An action: read the shard.
struct read_shard
{
};

/// An action: write the shard if its revision is still the expected one.
struct write_shard
{
    key_revision expected;
    std::string text;
};

using claim_action = std::variant<read_shard, write_shard, claim_result>;

/// The state of the batched writes of one shard.
struct claim_batcher
{
    unsigned shard = 0;
    duration batchPeriod{50};
    duration retryPause{500};
    /// The shard as it was last read or written, and its revision. Empty initially and after a write whose outcome is unknown.
    std::optional<claim_shard> knownShard;
    key_revision knownShardRevision;
    /// The last \a knownShard, while that is empty.
    claim_shard lastKnown;
    /// The era that the key-value service named last.
    store_era era;
    /// Whether claims that the service has lost by coming back from an older copy must be written again.
    bool mustRestore = false;
    std::vector<pending_claim> waiting;
    /// The operations in the pending write, the shard that results from it, and the results to report once it has been applied.
    std::vector<pending_claim> writing;
    claim_shard written;
    std::vector<claim_result> results;
    /// Whether the outcome of a write is unknown: it may still be applied until another write of this shard is known to have been applied.
    bool isInDoubt = false;
    bool isCallPending = false;
    instant nextCall;
};

// Commands. Those with a result return the actions that the caller performs next.

/// Adds an operation to the next write.
void addClaim(claim_batcher &batcher, const pending_claim &claim);
/// Records the era that the key-value service names now. In a new era the shard is read again, and lost claims are added to it.
void recordEra(claim_batcher &batcher, store_era era);
/// Refuses claims whose deadline has passed, and starts the next read or write when it is due.
std::vector<claim_action> tick(claim_batcher &batcher, instant now, std::int64_t calendarNow);
/// Handles the result of a read; \a entry is empty if the read failed.
std::vector<claim_action> onShardRead(claim_batcher &batcher, const std::optional<key_value_entry> &entry, instant now);
/// Handles the result of a write. Returns the results of its claims if it was applied; otherwise the operations wait for the next write.
std::vector<claim_action> onShardWritten(claim_batcher &batcher, const swap_result &result, instant now);

} // namespace vetchpost
