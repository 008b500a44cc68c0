// SPDX-License-Identifier: Apache-2.0
// Guards against a response that was cut off between two chunks and is taken for whole.
#include "Libraries/Http/http_client.h"
#include "Tests/Fakes/request_head.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <thread>

using namespace vetchpost;

namespace {

/// A server that answers each request on its only connection with the next of the given texts, then closes the connection.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> answers)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, answers = std::move(answers)] { serve(answers); })
    {
    }

    ~scripted_server()
    {
        m_thread.join();
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    http_call call() const
    {
        http_call call;
        call.to = {"127.0.0.1", m_socket.address().port()};
        call.target = "/";
        call.receiveTimeout = duration(2000);
        return call;
    }

private:
    void serve(const std::vector<std::string> &answers)
    {
        auto connection = m_socket.acceptConnection();
        for (const auto &answer : answers) {
            if (!test::receiveRequestHead(connection)) {
                return;
            }
            connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
        }
    }

    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

} // namespace

TEST_CASE("A response that is cut off is not taken for whole, wherever it is cut")
{
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nlisting ";
    const auto chunked = fmt::format("{}{}{}{}", chunkedHead, chunk("half a "), chunk("listing"), lastChunk);
    for (const auto &whole : {chunked, sized}) {
        for (auto size = whole.find("\r\n\r\n") + 4; size < whole.size(); ++size) {
            const scripted_server server({whole.substr(0, size)});
            reason why;
            CHECK_FALSE(sendOnFreshConnection(server.call(), why));
            CHECK(why.kind == error_kind::backend_truncated);
        }
        const scripted_server server({whole});
        reason why;
        CHECK(sendOnFreshConnection(server.call(), why));
    }
}

TEST_CASE("Responses on one connection are each read to their own end")
{
    const scripted_server server({chunkedHead + chunk("first ") + chunk("reply") + lastChunk,
                                  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nsecond reply",
                                  "HTTP/1.1 204 No Content\r\n\r\n",
                                  "HTTP/1.1 200 OK\r\n\r\nthe last reply"});
    http_connection_pool pool;
    reason why;
    for (const auto *expected : {"first reply", "second reply", "", "the last reply"}) {
        const auto reply = pool.send(server.call(), why);
        REQUIRE(reply);
        CHECK(reply->body == expected);
    }
}

TEST_CASE("A streamed response that is cut off between two lines does not end as if whole")
{
    const auto lines = chunkedHead + chunk("one\r\n") + chunk("two\n");
    for (const bool isWhole : {true, false}) {
        const scripted_server server({isWhole ? lines + lastChunk : lines});
        http_stream stream;
        reason why;
        REQUIRE(stream.open(server.call(), why) == 200);
        const auto deadline = monotonicNow() + duration(2000);
        std::string line;
        CHECK(stream.nextLine(line, deadline, -1) == stream_event::line);
        CHECK(line == "one");
        CHECK(stream.nextLine(line, deadline, -1) == stream_event::line);
        CHECK(line == "two");
        CHECK(stream.nextLine(line, deadline, -1) == (isWhole ? stream_event::end : stream_event::lost));
    }
}
