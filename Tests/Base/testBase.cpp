// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/digest.h"
#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/json.h"
#include "Libraries/Base/rcu_snapshot.h"

#include <catch2/catch.hpp>

#include <set>
#include <thread>

using namespace vetchpost;

TEST_CASE("The table of error kinds has one row for each kind, in the order of the kinds")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorKindCount; ++i) {
        const auto &answer = errorAnswer(static_cast<error_kind>(i));
        CHECK(static_cast<std::size_t>(answer.kind) == i);
        CHECK(names.insert(answer.name).second);
        CHECK(answer.httpStatus >= 400);
    }
}

TEST_CASE("A retry is suggested only for requests that did not run or are still running")
{
    for (const auto &answer : errorAnswers()) {
        if (answer.retryAfter.count() > 0) {
            CHECK((answer.ran == run_state::not_run || answer.kind == error_kind::claim_running));
        }
    }
}

TEST_CASE("Only an IPv4 address with a port is parsed as an endpoint")
{
    CHECK(parseEndpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
    for (const auto *invalid :
         {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:8x", "localhost:80", "1.2.3:4"}) {
        CHECK_FALSE(parseEndpoint(invalid));
    }
}

TEST_CASE("Invalid and too deeply nested JSON is rejected without a crash")
{
    CHECK_FALSE(parseJson(std::string(100000, '[')));
    CHECK_FALSE(parseJson("{\"a\":"));
    CHECK_FALSE(parseJson(""));
    CHECK_FALSE(parseJson("{} trailing"));
    CHECK(jsonNumber(*parseJson("{\"a\":-1}"), "a") == 0);
    CHECK(jsonString(*parseJson("[1]"), "a").empty());
}

TEST_CASE("Secrets are equal only if all of their characters are")
{
    CHECK(isSameSecret("token", "token"));
    CHECK_FALSE(isSameSecret("token", "tokem"));
    CHECK_FALSE(isSameSecret("token", "toke"));
    CHECK_FALSE(isSameSecret("", "t"));
}

TEST_CASE("Readers of a snapshot see a consistent value while it is replaced")
{
    struct pair_value
    {
        int left = 0;
        int right = 0;
    };
    rcu_snapshot<pair_value> snapshot;
    std::atomic<bool> isDone = false;
    std::atomic<int> torn = 0;
    std::vector<std::thread> readers;
    readers.reserve(3);
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&] {
            while (!isDone) {
                torn += snapshot.read([](const pair_value &value) { return value.left == value.right ? 0 : 1; });
            }
        });
    }
    for (int i = 1; i <= 200; ++i) {
        snapshot.replace({i, i});
    }
    isDone = true;
    for (auto &reader : readers) {
        reader.join();
    }
    CHECK(torn == 0);
    CHECK(snapshot.read([](const pair_value &value) { return value.left; }) == 200);
}
