// SPDX-License-Identifier: Apache-2.0
// Guards against an answer whose head or trailers end early and which is taken for a whole one with an empty or short body.
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/http_tunnel.h"
#include "Libraries/Http/http_upstream.h"
#include "Tests/Fakes/cut_answer_server.h"
#include "Tests/Fakes/free_port.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration callTimeout(2000);

http_call callTo(const endpoint &to)
{
    http_call call;
    call.to = to;
    call.receiveTimeout = callTimeout;
    return call;
}

/// Whether a request that has been sent on \a upstream is answered whole.
bool isAnsweredWhole(http_upstream &upstream)
{
    reason why;
    const auto deadline = monotonicNow() + callTimeout;
    if (upstream.waitForAnswer(deadline, -1) != upstream_event::data || !upstream.readHead(why)) {
        return false;
    }
    auto event = upstream_event::data;
    for (std::string piece; event == upstream_event::data;) {
        event = upstream.nextPiece(piece, deadline, -1);
    }
    return event == upstream_event::end;
}

bool upstreamTakesForWhole(const endpoint &server)
{
    http_upstream upstream;
    reason why;
    return upstream.send(callTo(server), why) && isAnsweredWhole(upstream);
}

/// The first side of the race is silent.
bool raceTakesForWhole(const endpoint &server)
{
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    http_upstream first;
    http_upstream second;
    reason why;
    if (!first.send(callTo({"127.0.0.1", silent.address().port()}), why) || !second.send(callTo(server), why)) {
        return false;
    }
    const auto event = upstream_pair(first, second).wait(monotonicNow() + callTimeout, -1);
    return event.isSecondReady && isAnsweredWhole(second);
}

bool ownCallTakesForWhole(const endpoint &server)
{
    reason why;
    return sendOnFreshConnection(callTo(server), why).has_value();
}

bool keptConnectionTakesForWhole(const endpoint &server)
{
    http_connection_pool pool;
    reason why;
    return pool.send(callTo(server), why).has_value();
}

bool ownStreamTakesForWhole(const endpoint &server)
{
    constexpr std::size_t limit = 1000;
    http_stream stream;
    reason why;
    return stream.open(callTo(server), why) && stream.readRest(limit);
}

bool proxyAnswerTakenForWhole(const endpoint &server)
{
    tunnel_refusal refusal;
    reason why;
    return openTunnel(callTo(server), "replica", refusal, why).has_value() || refusal.status != 0;
}

/// Sends a request through a tunnel to the server.
bool tunnelTakesForWhole(const endpoint &server)
{
    const auto proxyAddress = freePort();
    const http_server proxy(proxyAddress, {}, [&](http_exchange &exchange) {
        connect_failure failure{};
        reason why;
        if (const auto connection = connectTo(server, callTimeout, failure, why)) {
            exchange.tunnelTo(*connection, monotonicNow() + callTimeout);
        }
    });
    tunnel_refusal refusal;
    reason why;
    const auto tunnel = openTunnel(callTo(proxyAddress), "replica", refusal, why);
    http_upstream upstream;
    return tunnel && upstream.send(*tunnel, callTo(server), why) && isAnsweredWhole(upstream);
}

struct answer_reader
{
    const char *name;
    bool (*takesForWhole)(const endpoint &server);
};

constexpr std::array readers = {answer_reader{"request to a replica", upstreamTakesForWhole},
                                answer_reader{"second side of a race", raceTakesForWhole},
                                answer_reader{"own call", ownCallTakesForWhole},
                                answer_reader{"own call on a kept connection", keptConnectionTakesForWhole},
                                answer_reader{"own stream", ownStreamTakesForWhole}};

const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Stamp: s\r\n";
const std::string interim = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n";

/// Counts the places at which the answer is cut, and checks that the part before none of them is taken for whole.
int checkCuts(const answer_reader &reader, const std::string &answer, std::size_t first, std::size_t step = 1)
{
    int places = 0;
    for (const auto end : {cut_end::close, cut_end::reset}) {
        for (auto length = first; length < answer.size(); length += step) {
            const cut_answer_server server(answer.substr(0, length), end);
            CAPTURE(reader.name, length, end);
            CHECK_FALSE(reader.takesForWhole(server.address()));
            ++places;
        }
    }
    return places;
}

} // namespace

TEST_CASE("An answer whose head ends early is lost on each path that reads one, wherever it is cut")
{
    for (const auto &reader : readers) {
        CHECK(checkCuts(reader, head + "Content-Length: 0\r\n\r\n", 0) > 100);
        const cut_answer_server whole(head + "Content-Length: 0\r\n\r\n", cut_end::close);
        CHECK(reader.takesForWhole(whole.address()));
    }
}

TEST_CASE("An answer without a length is lost if its head ends early, also after an interim response")
{
    for (const auto &reader : readers) {
        checkCuts(reader, interim + head + "\r\n", 0);
        const cut_answer_server whole(interim + head + "\r\n", cut_end::close);
        CHECK(reader.takesForWhole(whole.address()));
    }
}

TEST_CASE("An answer in chunks is lost if it ends before the last line of its trailers")
{
    const auto begin = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto answer = begin + "5\r\nwhole\r\n0\r\nA: b\r\n\r\n";
    for (const auto &reader : readers) {
        checkCuts(reader, answer, begin.size());
        const cut_answer_server whole(answer, cut_end::close);
        CHECK(reader.takesForWhole(whole.address()));
    }
}

TEST_CASE("A proxy whose answer's head ends early opens no tunnel")
{
    const answer_reader reader{"answer of a proxy", proxyAnswerTakenForWhole};
    checkCuts(reader, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 0);
    checkCuts(reader, "HTTP/1.1 404 Not Found\r\nWhy: unknown\r\n\r\n", 0);
}

TEST_CASE("An answer whose head ends early is lost through a tunnel")
{
    constexpr std::size_t step = 7;
    const answer_reader reader{"request through a tunnel", tunnelTakesForWhole};
    checkCuts(reader, head + "\r\n", 0, step);
    const cut_answer_server whole(head + "\r\n", cut_end::close);
    CHECK(reader.takesForWhole(whole.address()));
}
