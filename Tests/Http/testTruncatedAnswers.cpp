// SPDX-License-Identifier: Apache-2.0
// Guards against an answer whose head or trailers end early and which is taken for a whole one with an empty or short body.
#include "Tests/Fakes/answer_readers.h"
#include "Tests/Fakes/cut_answer_server.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

bool proxyAnswerTakenForWhole(const http_call &call)
{
    tunnel_refusal refusal;
    reason why;
    return openTunnel(call, "replica", refusal, why).has_value() || refusal.status != 0;
}

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
            CHECK_FALSE(reader.takesForWhole(callTo(server.address())));
            ++places;
        }
    }
    return places;
}

} // namespace

TEST_CASE("An answer whose head ends early is lost on each path that reads one, wherever it is cut")
{
    for (const auto &reader : answerReaders) {
        CHECK(checkCuts(reader, head + "Content-Length: 0\r\n\r\n", 0) > 100);
        const cut_answer_server whole(head + "Content-Length: 0\r\n\r\n", cut_end::close);
        CHECK(reader.takesForWhole(callTo(whole.address())));
    }
}

TEST_CASE("An answer without a length is lost if its head ends early, also after an interim response")
{
    for (const auto &reader : answerReaders) {
        checkCuts(reader, interim + head + "\r\n", 0);
        const cut_answer_server whole(interim + head + "\r\n", cut_end::close);
        CHECK(reader.takesForWhole(callTo(whole.address())));
    }
}

TEST_CASE("An answer in chunks is lost if it ends before the last line of its trailers")
{
    const auto begin = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto answer = begin + "5\r\nwhole\r\n0\r\nA: b\r\n\r\n";
    for (const auto &reader : answerReaders) {
        checkCuts(reader, answer, begin.size());
        const cut_answer_server whole(answer, cut_end::close);
        CHECK(reader.takesForWhole(callTo(whole.address())));
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
    CHECK(reader.takesForWhole(callTo(whole.address())));
}
