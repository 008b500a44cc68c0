// SPDX-License-Identifier: Apache-2.0
// Guards against answers with a malformed head that are taken for answers, and against sound ones that are not.
#include "Libraries/Http/response_head.h"
#include "Tests/Fakes/answer_readers.h"
#include "Tests/Fakes/cut_answer_server.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace std::string_literals;
using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const std::string lengthAndBody = "Content-Length: 4\r\n\r\nbody";
const std::string chunkedBody = "4\r\nbody\r\n0\r\n\r\n";
const std::string soundStatus = "HTTP/1.1 200 OK\r\n";
const std::string soundAnswer = soundStatus + lengthAndBody;

void checkRejected(const std::string &answer)
{
    for (const auto &reader : answerReaders) {
        const cut_answer_server server(answer, cut_end::close);
        CAPTURE(reader.name, answer);
        CHECK_FALSE(reader.takesForWhole(callTo(server.address())));
    }
}

void checkAccepted(const std::string &answer)
{
    for (const auto &reader : answerReaders) {
        const cut_answer_server server(answer, cut_end::close);
        CAPTURE(reader.name, answer);
        CHECK(reader.takesForWhole(callTo(server.address())));
    }
}

std::optional<http_reply> replyTo(const std::string &answer, const std::string &method = "GET")
{
    const cut_answer_server server(answer, cut_end::close);
    auto call = callTo(server.address());
    call.method = method;
    reason why;
    return sendOnFreshConnection(call, why);
}

/// Why the head is invalid; empty if it is not.
std::string problemOf(const std::string &head)
{
    response_head_decoder decoder;
    decoder.consume(head);
    return decoder.problem();
}

} // namespace

TEST_CASE("An answer with an invalid status is rejected, also if a sound answer follows")
{
    for (const auto *status :
         {"000", "001", "050", "099", "600", "999", "1000", "20", "+200", "-200", "0x200", "200.5", "2 0", "abc", ""}) {
        checkRejected("HTTP/1.1 "s + status + " Status\r\n" + lengthAndBody);
        checkRejected("HTTP/1.1 "s + status + "\r\n" + lengthAndBody);
        checkRejected("HTTP/1.1 "s + status + " Status\r\n\r\n" + soundAnswer);
    }
}

TEST_CASE("A switch of protocols that was not asked for is rejected")
{
    checkRejected("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
    checkRejected("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + soundAnswer);
}

TEST_CASE("An answer of another protocol version is rejected")
{
    for (const auto *version :
         {"HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "HTTP/1.", "HTTP/1", "HTTP/x.1", "HTTP/1.11", "http/1.1", "HTTPS/1.1"}) {
        checkRejected(version + " 200 OK\r\n"s + lengthAndBody);
    }
}

TEST_CASE("A control character in the reason phrase is rejected")
{
    for (const auto &byte : {"\0"s, "\x01"s, "\x0b"s, "\r"s, "\x7f"s}) {
        checkRejected(fmt::format("HTTP/1.1 200 O{}K\r\n{}", byte, lengthAndBody));
    }
}

TEST_CASE("Sound status lines are accepted")
{
    for (const auto *line :
         {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 500 Caf\xc3\xa9\tclosed", "HTTP/1.1 599 "}) {
        checkAccepted(line + "\r\n"s + lengthAndBody);
    }
    CHECK(replyTo("HTTP/1.1 599 Own\r\n" + lengthAndBody)->status == 599);
}

TEST_CASE("Interim responses are skipped, with and without fields")
{
    for (const auto *status : {"100", "102", "103", "199"}) {
        const auto interim = "HTTP/1.1 "s + status + " Wait\r\n";
        checkAccepted(fmt::format("{}\r\n{}", interim, soundAnswer));
        checkAccepted(fmt::format("{0}A: b\r\n\r\n{0}\r\n{1}", interim, soundAnswer));
    }
    checkRejected("HTTP/1.1 199 Wait\r\n\r\nbody");
}

TEST_CASE("A blank, a control character or another byte that no name may have is rejected in the name of a field")
{
    for (const auto &byte : {" "s, "\t"s, "\0"s, "\x01"s, "\x1f"s, "\x7f"s, "("s, "\""s, "\x80"s, "\xff"s, "\r"s}) {
        for (const auto &name : {"A" + byte + "b", "Ab" + byte, byte + "Ab"}) {
            checkRejected(fmt::format("{}{}: value\r\n{}", soundStatus, name, lengthAndBody));
            checkRejected(fmt::format("HTTP/1.1 103 Early Hints\r\n{}: value\r\n\r\n{}", name, soundAnswer));
        }
        checkRejected(fmt::format("{}Content-Len{}gth: 4\r\n\r\nbody", soundStatus, byte));
        checkRejected(fmt::format("{}Content-Length{}: 4\r\n\r\nbody", soundStatus, byte));
        checkRejected(fmt::format("{}Transfer-Encoding{}: chunked\r\n\r\n{}", soundStatus, byte, chunkedBody));
    }
}

TEST_CASE("A line of a head that is no field is rejected")
{
    for (const auto *line : {"no colon", ": value", "A: b\r\n folded", "A: b\r\n\tfolded", "\r"}) {
        checkRejected(fmt::format("{}{}\r\n{}", soundStatus, line, lengthAndBody));
        checkRejected(soundStatus + "Content-Length: 4\r\n" + line + "\r\n\r\nbody");
    }
}

TEST_CASE("A control character in the value of a field is rejected")
{
    for (const auto &byte : {"\0"s, "\x01"s, "\x0b"s, "\r"s, "\x1f"s, "\x7f"s}) {
        checkRejected(fmt::format("{}A: b{}c\r\n{}", soundStatus, byte, lengthAndBody));
    }
}

TEST_CASE("Sound fields are accepted, and their values arrive as they were sent")
{
    checkAccepted(soundStatus + "!#$%&'*+-.^_`|~09azAZ: value\r\n" + lengthAndBody);
    checkAccepted("HTTP/1.1 200 OK\nA: b\nContent-Length: 4\n\nbody");
    for (const auto *value : {"", "b", "b:c", "b\tc", "caf\xc3\xa9", "\x80\xff", "a, b; c=\"d\""}) {
        const auto reply = replyTo(fmt::format("{}A: {} \r\n{}", soundStatus, value, lengthAndBody));
        REQUIRE(reply);
        CHECK(reply->header("A") == value);
        CHECK(reply->body == "body");
    }
}

TEST_CASE("A body whose last byte is above 127 is not taken for a truncated one")
{
    for (const std::string body : {"\xff", "\x80", "caf\xc3\xa9"}) {
        const auto sized = fmt::format("{}Content-Length: {}\r\n\r\n{}", soundStatus, body.size(), body);
        const auto chunked = fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", soundStatus, body.size(), body);
        for (const auto &answer : {sized, chunked}) {
            const auto reply = replyTo(answer);
            REQUIRE(reply);
            CHECK(reply->body == body);
        }
    }
}

TEST_CASE("The problem of a head names the rule that it breaks")
{
    CHECK(problemOf(soundAnswer).empty());
    CHECK(problemOf("HTTP/2.0 200 OK\r\n\r\n").find("version") != std::string::npos);
    CHECK(problemOf("HTTP/1.1 000 Status\r\n\r\n").find("status") != std::string::npos);
    CHECK(problemOf(soundStatus + "A b: c\r\n\r\n").find("name") != std::string::npos);
    CHECK(problemOf(soundStatus + "A: b\x01\r\n\r\n").find("value") != std::string::npos);
}

TEST_CASE("An answer whose end its head does not determine unambiguously is rejected")
{
    for (const auto *fields : {"Content-Length: 2\r\nContent-Length: 4",
                               "Content-Length: +4",
                               "Content-Length: -4",
                               "Content-Length: 4x",
                               "Content-Length: 4, 2",
                               "Content-Length: ",
                               "Content-Length: 99999999999999999999"}) {
        checkRejected(soundStatus + fields + "\r\n\r\nbody");
    }
    for (const auto *fields : {"Transfer-Encoding: chunked\r\nContent-Length: 14",
                               "Transfer-Encoding: gzip",
                               "Transfer-Encoding: gzip, chunked",
                               "Transfer-Encoding: chunked, identity",
                               "Transfer-Encoding: identity",
                               "Transfer-Encoding: ",
                               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"}) {
        checkRejected(fmt::format("{}{}\r\n\r\n{}", soundStatus, fields, chunkedBody));
    }
    checkRejected("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody);
}

TEST_CASE("Sound framings are accepted")
{
    for (const auto &answer : {soundStatus + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
                               fmt::format("{}Transfer-Encoding: Chunked\r\n\r\n{}", soundStatus, chunkedBody),
                               soundStatus + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\n\r\n",
                               soundStatus + "\r\nbody"}) {
        checkAccepted(answer);
        CHECK(replyTo(answer)->body == "body");
    }
    CHECK(replyTo(soundStatus + "Content-Length: 4\r\n\r\n", "HEAD")->status == 200);
    CHECK(replyTo("HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n")->status == 204);
    CHECK(replyTo("HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n")->status == 304);
}

TEST_CASE("An answer with a malformed head is rejected through a tunnel, and a sound one accepted")
{
    for (const auto *lines : {"HTTP/1.1 000 Status", "HTTP/1.1 200 OK\r\nA b: c", "HTTP/1.1 200 OK\r\nA\x01: c"}) {
        const auto answer = fmt::format("{}\r\n{}", lines, lengthAndBody);
        const cut_answer_server server(answer, cut_end::close);
        CAPTURE(answer);
        CHECK_FALSE(tunnelTakesForWhole(callTo(server.address())));
    }
    const cut_answer_server sound(soundAnswer, cut_end::close);
    CHECK(tunnelTakesForWhole(callTo(sound.address())));
}
