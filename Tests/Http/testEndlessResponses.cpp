// SPDX-License-Identifier: Apache-2.0
// Guards against a peer whose bytes are no response and do not end, and which holds a thread, a core or memory until it stops by itself.
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_tunnel.h"
#include "Libraries/Http/http_upstream.h"
#include "Libraries/Http/response_head.h"
#include "Tests/Fakes/endless_server.h"
#include "Tests/Fakes/waiting.h"

#include <catch2/catch.hpp>

#include <ctime>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration callTimeout(1000);
constexpr int manyTimes = 400;

struct endless_case
{
    const char *name;
    endless_answer answer;
};

std::vector<endless_case> endlessHeads()
{
    return {{"interim responses", {"", repeat("HTTP/1.1 100 Continue\r\n\r\n", manyTimes), {}}},
            {"lines without a colon", {"HTTP/1.1 200 OK\r\n", repeat("no header\r\n", manyTimes), {}}},
            {"one long line", {"HTTP/1.1 200 OK\r\nA: ", std::string(manyTimes, 'x'), {}}},
            {"blank lines", {"", repeat("\r\n", manyTimes), {}}},
            {"no HTTP", {"", repeat("garbage", manyTimes), {}}},
            {"headers", {"HTTP/1.1 200 OK\r\n", repeat("A: b\r\n", manyTimes), {}}},
            {"a byte at a time", {"HTTP/1.1 200 OK\r\nA: ", "x", duration(50)}}};
}

/// The processor time that this process has used.
duration processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

http_call callTo(const endless_server &server)
{
    http_call call;
    call.to = {"127.0.0.1", server.port()};
    call.receiveTimeout = callTimeout;
    return call;
}

} // namespace

TEST_CASE("A head that does not end is given up in time, however its bytes come")
{
    for (const auto &[name, answer] : endlessHeads()) {
        CAPTURE(name);
        const endless_server server(answer);
        reason why;
        const auto began = monotonicNow();
        const auto processorBegan = processorTime();

        SECTION(std::string("request to a replica: ") + name)
        {
            http_upstream upstream;
            REQUIRE(upstream.send(callTo(server), why));
            const auto wait = upstream.waitForAnswer(began + callTimeout, -1);
            CHECK((wait == upstream_event::timeout || !upstream.readHead(why)));
            upstream.close();
        }

        SECTION(std::string("own call: ") + name)
        {
            CHECK_FALSE(sendOnFreshConnection(callTo(server), why));
        }

        SECTION(std::string("own call on a kept connection: ") + name)
        {
            http_connection_pool pool;
            CHECK_FALSE(pool.send(callTo(server), why));
        }

        SECTION(std::string("own stream: ") + name)
        {
            http_stream stream;
            CHECK_FALSE(stream.open(callTo(server), why));
            stream.close();
        }

        SECTION(std::string("tunnel: ") + name)
        {
            tunnel_refusal refusal;
            CHECK_FALSE(openTunnel(callTo(server), "replica", refusal, why));
        }
        CHECK(monotonicNow() - began < 2 * callTimeout + duration(500));
        CHECK(processorTime() - processorBegan < duration(500));
    }
}

TEST_CASE("A head that comes slowly counts as silence, and the other side of a race is not kept waiting")
{
    const endless_server slow({"HTTP/1.1 200 OK\r\nA: ", "x", duration(20)});
    const endless_server quick({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "whole", duration(200)});
    reason why;
    http_upstream first;
    http_upstream second;
    REQUIRE(first.send(callTo(slow), why));
    CHECK(first.waitForAnswer(monotonicNow() + duration(300), -1) == upstream_event::timeout);
    REQUIRE(second.send(callTo(quick), why));
    const auto event = upstream_pair(first, second).wait(monotonicNow() + duration(500), -1);
    CHECK_FALSE(event.isFirstReady);
    CHECK(event.isSecondReady);
    CHECK(second.readHead(why));
    first.close();
    second.close();
}

TEST_CASE("A body of an own call that comes slowly without an end is given up")
{
    const endless_server server({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", duration(20)});
    reason why;
    auto call = callTo(server);
    call.receiveTimeout = duration(300);
    const auto began = monotonicNow();
    CHECK_FALSE(sendOnFreshConnection(call, why));
    CHECK(why.kind == error_kind::deadline_exceeded);
    CHECK(monotonicNow() - began < duration(300) * 5 + duration(500));
}

TEST_CASE("A line of an own stream that does not end is given up")
{
    const endless_server server({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'x') + "\r\n", {}});
    reason why;
    http_stream stream;
    REQUIRE(stream.open(callTo(server), why) == 200);
    std::string line;
    const auto processorBegan = processorTime();
    CHECK(stream.nextLine(line, monotonicNow() + duration(5000), -1) == stream_event::lost);
    CHECK(processorTime() - processorBegan < duration(1000));
    stream.close();
}

TEST_CASE("A head is decoded alike however it is cut, and interim responses are skipped")
{
    const std::string bytes
        = "\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\nbody";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        CAPTURE(cut);
        response_head_decoder head;
        head.consume(bytes.substr(0, cut));
        head.consume(bytes.substr(cut));
        REQUIRE(head.current() == response_head_decoder::state::complete);
        CHECK(head.response().getStatus() == 200);
        CHECK(head.response().get("A") == "b");
        CHECK_FALSE(head.response().has("Link"));
        CHECK(head.takeRest() == "body");
    }
}

TEST_CASE("A head that its connection cuts is invalid, and one of the largest size is not")
{
    response_head_decoder cut;
    cut.consume("HTTP/1.1 200 OK\r\nA: b\r\n");
    CHECK(cut.consumeEnd() == response_head_decoder::state::invalid);

    std::string large = "HTTP/1.1 200 OK\r\n";
    while (large.size() < maximumHeadSize - 1024) {
        large += "A: " + std::string(1000, 'x') + "\r\n";
    }
    response_head_decoder whole;
    CHECK(whole.consume(large + "\r\n") == response_head_decoder::state::complete);
    response_head_decoder over;
    CHECK(over.consume(large + large) == response_head_decoder::state::invalid);
}
