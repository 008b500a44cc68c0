// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/claim_batcher.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

constexpr store_era firstEra(1);
constexpr store_era secondEra(2);
const instant start(duration(100000));

claim_record makeClaim(const std::string &owner)
{
    return {"key", "body", request_id(owner), daemon_id("d1"), claim_state::claimed, 1000};
}

/// Claims the key for \a owner at a service that holds the shard \a stored at a revision. Returns the verdict.
std::optional<claim_verdict> claim(claim_batcher &batcher, const std::string &owner, const key_value_entry &stored, instant now)
{
    addClaim(batcher, {{claim_change::claim, makeClaim(owner)}, now + duration(5000)});
    for (int step = 0; step < 4; ++step) {
        now += duration(1000);
        for (const auto &action : tick(batcher, now, 1000)) {
            if (std::holds_alternative<read_shard>(action)) {
                onShardRead(batcher, stored, now);
            } else if (const auto *write = std::get_if<write_shard>(&action)) {
                const bool isExpected = write->expected == stored.changed;
                const swap_result result{isExpected ? swap_outcome::applied : swap_outcome::conflict,
                                         key_revision(stored.changed.number() + 1, stored.changed.era())};
                const auto answers = onShardWritten(batcher, result, now);
                if (!answers.empty()) {
                    return std::get<claim_result>(answers.front()).verdict;
                }
            }
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("A claim that the key-value service has lost is not granted to another request")
{
    claim_batcher batcher;
    recordEra(batcher, firstEra);
    const key_value_entry empty{"shard", "", key_revision(7, firstEra)};
    REQUIRE(claim(batcher, "first", empty, start) == claim_verdict::granted);
    recordEra(batcher, secondEra);
    const key_value_entry lost{"shard", "", key_revision(5, secondEra)};
    CHECK(claim(batcher, "second", lost, start + duration(20000)) == claim_verdict::running);
}

TEST_CASE("Claims that the key-value service has lost are written again without a further claim")
{
    claim_batcher batcher;
    recordEra(batcher, firstEra);
    REQUIRE(claim(batcher, "first", {"shard", "", key_revision(7, firstEra)}, start) == claim_verdict::granted);
    recordEra(batcher, secondEra);
    const auto now = start + duration(20000);
    REQUIRE(std::holds_alternative<read_shard>(tick(batcher, now, 1000).at(0)));
    onShardRead(batcher, key_value_entry{"shard", "", key_revision(5, secondEra)}, now);
    const auto actions = tick(batcher, now + duration(1000), 1000);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<write_shard>(actions[0]).text.find("first") != std::string::npos);
    CHECK(std::get<write_shard>(actions[0]).expected == key_revision(5, secondEra));
}
