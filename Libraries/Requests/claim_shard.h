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
    /// Its owner may be running it.
    claimed,
    /// It ran to its end.
    ran,
    /// It was dispatched and its end is not known.
    unknown
};

/// One keyed request that was claimed.
struct claim_record
{
    /// The fingerprint of organisation, deployment and key.
    std::string key;
    /// The fingerprint of the request's body: the same key with another body is a mistake of the caller.
    std::string body;
    /// The number of this very claim, unique to one request of one daemon.
    request_id owner;
    daemon_id daemon;
    claim_state state = claim_state::claimed;
    /// Calendar time in milliseconds.
    std::int64_t at = 0;
};

/// The claims of one part of all keys: one value of the key-value service.
struct claim_shard
{
    std::vector<claim_record> claims;
};

enum class claim_verdict {
    granted,
    /// Somebody else holds the claim and may be running it.
    running,
    ran,
    unknown,
    /// The key was used with another body.
    reused
};

enum class claim_change {
    /// Take the key.
    claim,
    /// It ran to its end.
    finish,
    /// It was dispatched and nobody knows how it ended.
    abandon,
    /// It was never dispatched: the key is free again.
    withdraw
};

struct claim_operation
{
    claim_change change = claim_change::claim;
    claim_record record;
};

/// How long a claim is remembered. A key that comes back later runs again: docs/design/CLAIMS.md.
constexpr duration claimWindow(600000);

/// Applies one operation to a shard. Applying it again changes nothing and gives the same verdict. A claim's verdict comes
/// with the record that decided it.
claim_verdict applyClaim(claim_shard &shard, const claim_operation &operation, claim_record &decidedBy);
/// Drops what is older than the window.
void forgetOldClaims(claim_shard &shard, std::int64_t calendarNow);

std::string toText(const claim_shard &shard);
std::optional<claim_shard> claimShardFrom(const std::string &text);

constexpr unsigned claimShardCount = 16;
/// The shard that a key belongs to.
unsigned shardOf(const std::string &key);
/// The key of a shard in the key-value service.
std::string claimShardKey(unsigned shard);

} // namespace vetchpost
