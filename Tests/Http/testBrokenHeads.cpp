// SPDX-License-Identifier: Apache-2.0
// Guards against answers with a malformed head that are taken for answers, and against sound ones that are not.
#include "Tests/Fakes/answer_readers.h"
#include "Tests/Fakes/cut_answer_server.h"

#include <catch2/catch.hpp>

using namespace std::string_literals;
using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const std::string lengthAndBody = "Content-Length: 4\r\n\r\nbody";
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
        checkRejected("HTTP/1.1 200 O" + byte + "K\r\n" + lengthAndBody);
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
        checkAccepted(interim + "\r\n" + soundAnswer);
        checkAccepted(interim + "A: b\r\n\r\n" + interim + "\r\n" + soundAnswer);
    }
    checkRejected("HTTP/1.1 199 Wait\r\n\r\nbody");
}
