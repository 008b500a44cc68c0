// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/claim_shard.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Base/json.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost {

namespace {

claim_verdict verdictOn(const claim_record &known, const claim_record &requested)
{
    if (known.owner == requested.owner) {
        return claim_verdict::granted;
    }
    if (known.body != requested.body) {
        return claim_verdict::reused;
    }
    switch (known.state) {
    case claim_state::claimed:
        return claim_verdict::running;
    case claim_state::ran:
        return claim_verdict::ran;
    case claim_state::unknown:
        return claim_verdict::unknown;
    }
    return claim_verdict::unknown;
}

} // namespace

claim_verdict applyClaim(claim_shard &shard, const claim_operation &operation, claim_record &decidedBy)
{
    const auto &requested = operation.record;
    const auto found
        = std::find_if(shard.claims.begin(), shard.claims.end(), [&](const claim_record &known) { return known.key == requested.key; });
    if (operation.change == claim_change::claim) {
        if (found == shard.claims.end()) {
            shard.claims.push_back(requested);
            decidedBy = requested;
            return claim_verdict::granted;
        }
        decidedBy = *found;
        return verdictOn(*found, requested);
    }
    if (found == shard.claims.end() || found->owner != requested.owner) {
        return claim_verdict::granted;
    }
    switch (operation.change) {
    case claim_change::finish:
        found->state = claim_state::ran;
        break;
    case claim_change::abandon:
        found->state = claim_state::unknown;
        break;
    case claim_change::withdraw:
        shard.claims.erase(found);
        break;
    case claim_change::claim:
        break;
    }
    return claim_verdict::granted;
}

void addLostClaims(claim_shard &shard, const claim_shard &known)
{
    for (const auto &record : known.claims) {
        const auto found
            = std::find_if(shard.claims.begin(), shard.claims.end(), [&](const claim_record &stored) { return stored.key == record.key; });
        if (found == shard.claims.end()) {
            shard.claims.push_back(record);
        } else if (found->owner == record.owner && found->state == claim_state::claimed) {
            found->state = record.state;
        }
    }
}

void expireClaims(claim_shard &shard, std::int64_t calendarNow)
{
    std::erase_if(shard.claims, [&](const claim_record &record) { return calendarNow - record.claimedAt > claimWindow.count(); });
}

std::string toText(const claim_shard &shard)
{
    Json::Value json(Json::arrayValue);
    for (const auto &record : shard.claims) {
        Json::Value entry(Json::arrayValue);
        entry.append(record.key);
        entry.append(record.body);
        entry.append(record.owner.value());
        entry.append(record.daemon.value());
        entry.append(static_cast<int>(record.state));
        entry.append(Json::Int64(record.claimedAt));
        json.append(entry);
    }
    return toJsonText(json);
}

std::optional<claim_shard> claimShardFrom(const std::string &text)
{
    claim_shard shard;
    if (text.empty()) {
        return shard;
    }
    const auto json = parseJson(text);
    if (!json || !json->isArray()) {
        return std::nullopt;
    }
    for (const auto &entry : *json) {
        constexpr Json::ArrayIndex fields = 6;
        if (!entry.isArray() || entry.size() != fields || !entry[4].isInt() || !entry[5].isInt64()) {
            return std::nullopt;
        }
        const auto state = std::clamp(entry[4].asInt(), 0, static_cast<int>(claim_state::unknown));
        shard.claims.push_back({entry[0].asString(),
                                entry[1].asString(),
                                request_id(entry[2].asString()),
                                daemon_id(entry[3].asString()),
                                static_cast<claim_state>(state),
                                entry[5].asInt64()});
    }
    return shard;
}

unsigned shardOf(const std::string &key)
{
    return static_cast<unsigned>(hashOf(key) % claimShardCount);
}

std::string claimShardKey(unsigned shard)
{
    return fmt::format("vetchpost/claims/{:02}", shard);
}

} // namespace vetchpost
