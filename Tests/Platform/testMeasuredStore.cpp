// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/measured_store.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

/// Returns fixed results and records its calls.
class scripted_store : public key_value_service
{
public:
    explicit scripted_store(std::string &calls)
        : m_calls(calls)
    {
    }

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) override
    {
        m_calls += "get " + key + (freshness == read_freshness::current ? " current;" : ";");
        lastReason = {error_kind::platform_unavailable, "down"};
        return std::nullopt;
    }

    std::optional<key_value_listing> list(const std::string &prefix, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        m_calls += "list " + prefix + ";";
        return key_value_listing{{{"k", "v", key_revision(3)}}, store_revision(7)};
    }

    swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease) override
    {
        m_calls += "write " + key + std::to_string(expected.number()) + value + std::to_string(lease.number()) + ";";
        return {swap_outcome::conflict, {}};
    }

    std::optional<lease_number> grantLease(duration /*time*/, reason & /*lastReason*/) override
    {
        return lease_number(5);
    }

    std::optional<bool> renewLease(lease_number /*lease*/, reason & /*lastReason*/) override
    {
        return false;
    }

    void endLease(lease_number lease) override
    {
        m_calls += "end " + std::to_string(lease.number()) + ";";
    }

    std::optional<watch_result>
    watch(const std::string & /*prefix*/, store_revision after, duration /*wait*/, reason & /*lastReason*/) override
    {
        return watch_result{after, {}, true};
    }

private:
    std::string &m_calls;
};

} // namespace

TEST_CASE("Calls to the key-value service are forwarded unchanged and counted by call and outcome")
{
    metrics counters;
    std::string calls;
    measured_store store(std::make_unique<scripted_store>(calls), counters);
    reason why;
    CHECK_FALSE(store.get("a", read_freshness::current, why));
    CHECK(why.text == "down");
    CHECK(store.list("p", read_freshness::current, why)->upTo == store_revision(7));
    CHECK(store.compareAndSwap("k", key_revision(2), "v", lease_number(4)).outcome == swap_outcome::conflict);
    CHECK(store.grantLease(duration(1), why) == lease_number(5));
    CHECK(store.renewLease(lease_number(5), why) == false);
    store.endLease(lease_number(5));
    CHECK(store.watch("p", store_revision(9), duration(1), why)->upTo == store_revision(9));
    CHECK(calls == "get a current;list p;write k2v4;end 5;");

    const auto text = counters.text();
    for (const auto *expected : {R"(call="get",outcome="no_answer"} 1)",
                                 R"(call="get",outcome="done"} 0)",
                                 R"(call="list",outcome="done"} 1)",
                                 R"(call="write",outcome="refused"} 1)",
                                 R"(call="grant_lease",outcome="done"} 1)",
                                 R"(call="renew_lease",outcome="refused"} 1)",
                                 R"(call="end_lease",outcome="done"} 1)",
                                 R"(call="watch",outcome="refused"} 1)"}) {
        CAPTURE(expected);
        CHECK(text.find(std::string("vetchpost_key_value_seconds_count{") + expected) != std::string::npos);
    }
}
