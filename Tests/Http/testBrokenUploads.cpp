// SPDX-License-Identifier: Apache-2.0
// Guards against the part of an answer that is taken for whole because the connection was reset while the request was still being sent.
#include "Tests/Fakes/answer_readers.h"
#include "Tests/Fakes/cut_answer_server.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Far more than fits into the buffers of both sockets.
constexpr std::size_t uploadSize = 16U << 20U;

http_call uploadTo(const endpoint &to)
{
    auto call = callTo(to);
    call.method = "POST";
    call.body.assign(uploadSize, 'u');
    return call;
}

struct reset_answer
{
    const char *head;
    std::string body;
};

/// Whether the reader takes an answer for whole whose connection ends during the upload.
bool takesForWhole(const answer_reader &reader, const reset_answer &answer, cut_end end, duration pause)
{
    const cut_answer_server server(answer.head + answer.body, end, pause);
    return reader.takesForWhole(uploadTo(server.address()));
}

std::vector<answer_reader> allReaders()
{
    std::vector<answer_reader> all(answerReaders.begin(), answerReaders.end());
    all.push_back({"request through a tunnel", tunnelTakesForWhole});
    return all;
}

constexpr std::array pauses = {duration(0), duration(100)};

} // namespace

TEST_CASE("An answer without a length is lost if its connection breaks off during the upload")
{
    const std::array<reset_answer, 4> answers = {{{"HTTP/1.1 200 OK\r\n\r\n", "part"},
                                                  {"HTTP/1.1 200 OK\r\n\r\n", std::string(900, 'p')},
                                                  {"HTTP/1.1 200 OK\r\n\r\n", ""},
                                                  {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "part"}}};
    for (const auto &reader : allReaders()) {
        for (const auto &answer : answers) {
            for (const auto pause : pauses) {
                for (const auto end : {cut_end::close, cut_end::reset}) {
                    CAPTURE(reader.name, answer.head, answer.body.size(), pause, end);
                    CHECK_FALSE(takesForWhole(reader, answer, end, pause));
                }
            }
        }
    }
}

TEST_CASE("An answer that is whole by its length or chunks is accepted although its connection breaks off during the upload")
{
    const std::array<reset_answer, 3> answers = {{{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
                                                  {"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n", ""},
                                                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"}}};
    for (const auto &reader : answerReaders) {
        for (const auto &answer : answers) {
            for (const auto pause : pauses) {
                CAPTURE(reader.name, answer.head, pause);
                CHECK(takesForWhole(reader, answer, cut_end::reset, pause));
            }
        }
    }
}

TEST_CASE("An answer without a length that ends after the whole upload is accepted")
{
    constexpr std::size_t smallUpload = 10;
    for (const auto &reader : allReaders()) {
        const cut_answer_server server("HTTP/1.1 200 OK\r\n\r\nbody", cut_end::close);
        auto call = uploadTo(server.address());
        call.body.resize(smallUpload);
        CAPTURE(reader.name);
        CHECK(reader.takesForWhole(call));
    }
}
