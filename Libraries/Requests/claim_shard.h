// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

enum class claim_state {
    /// The request may be running.
    claimed,
    /// The request ran to completion.
    ran,
    /// The request was dispatched and its outcome is unknown.
    unknown
};

/// A claim of an idempotency key by one request.
struct claim_record
{
    /// The fingerprint of organisation, deployment and idempotency key.
    std::string key;
    /// The fingerprint of the request's body; the same key with another body is an error of the client.
    std::string body;
    /// The id of the request that made the claim, unique among all requests of all daemons.
    request_id owner;
    daemon_id daemon;
    claim_state state = claim_state::claimed;
    /// When the claim was made, as calendar time in milliseconds.
    std::int64_t claimedAt = 0;
};

/// The claims of one partition of the keys, stored as one value of the key-value service.
struct claim_shard
{
    std::vector<claim_record> claims;
};

enum class claim_verdict {
    granted,
    /// Another request holds the claim and may be running.
    running,
    ran,
    unknown,
    /// The key was used with a different body.
    reused
};

enum class claim_change {
    /// Claims the key.
    claim,
    /// Records that the request ran to completion.
    finish,
    /// Records that the request was dispatched and its outcome is unknown.
    abandon,
    /// Releases the key of a request that was never dispatched.
    withdraw
};

struct claim_operation
{
    claim_change change = claim_change::claim;
    claim_record record;
};

/// How long a claim is remembered. A request that repeats its key later runs again (docs/design/CLAIMS.md).
constexpr duration claimWindow(600000);

/// Applies one operation to a shard. This is idempotent: applying it again changes nothing and returns the same verdict. For a claim,
/// \a decidedBy is set to the record that determined the verdict.
claim_verdict applyClaim(claim_shard &shard, const claim_operation &operation, claim_record &decidedBy);
/// Adds the claims of a shard as it was \a known before to the same shard of a key-value service that may have lost some of them.
void addLostClaims(claim_shard &shard, const claim_shard &known);
/// Removes claims older than claimWindow.
void expireClaims(claim_shard &shard, std::int64_t calendarNow);

std::string toText(const claim_shard &shard);
/// Parses a stored shard; empty text is an empty shard. Returns nothing if the text is malformed.
std::optional<claim_shard> claimShardFrom(const std::string &text);

constexpr unsigned claimShardCount = 16;
/// Returns the number of the shard that holds the claim of \a key.
unsigned shardOf(const std::string &key);
/// Returns the shard's key in the key-value service.
std::string claimShardKey(unsigned shard);

} // namespace vetchpost
