// SPDX-License-Identifier: Apache-2.0
// Guards against a request that is handled although its connection ended inside its head: with a cut id, without the headers that were
// still to come, or without its body.
#include "Libraries/Http/http_server.h"
#include "Tests/Fakes/free_port.h"
#include "Tests/Fakes/raw_client.h"
#include "Tests/Fakes/waiting.h"

#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const std::string head
    = "POST /book/order HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: cutb\r\nToken-Counts: 40,300\r\nContent-Length: 4\r\n\r\n";
const std::string whole = head + "body";

enum class client_end { half_close, close, reset };

/// A server that records the target of each request that it handles.
class recording_server
{
public:
    recording_server()
        : m_address(freePort())
        , m_server(m_address, {}, [this](http_exchange &exchange) { handle(exchange); })
    {
    }

    const endpoint &address() const
    {
        return m_address;
    }

    int handled() const
    {
        return m_handled;
    }

    http_server &server()
    {
        return m_server;
    }

private:
    void handle(http_exchange &exchange)
    {
        constexpr std::size_t limit = 1000;
        reason why;
        const auto body = exchange.readBody(limit, duration(2000), why);
        ++m_handled;
        exchange.send(200, "text/plain", body.value_or(""));
    }

    std::atomic<int> m_handled = 0;
    endpoint m_address;
    http_server m_server;
};

/// Sends the bytes and ends the connection. Returns what the server sent after a half-close.
std::string sendAndEnd(const endpoint &server, const std::string &bytes, client_end end)
{
    raw_client client(server);
    client.send(bytes);
    if (end == client_end::half_close) {
        client.shutdownSend();
        return client.receiveAll();
    }
    if (end == client_end::reset) {
        client.reset();
    }
    return {};
}

std::size_t countAnswers(const std::string &received, const std::string &statusLine)
{
    std::size_t count = 0;
    for (auto at = received.find(statusLine); at != std::string::npos; at = received.find(statusLine, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("A request whose connection ends inside its head is not handled, wherever it ends")
{
    recording_server recorder;
    for (const auto end : {client_end::half_close, client_end::close, client_end::reset}) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            CAPTURE(length, end);
            const auto received = sendAndEnd(recorder.address(), head.substr(0, length), end);
            CHECK((length == 0 || end != client_end::half_close || received.starts_with("HTTP/1.1 400")));
        }
    }
    CHECK(isWithin(duration(3000), [&] { return recorder.server().openConnections() == 0; }));
    CHECK(recorder.handled() == 0);
    CHECK(recorder.server().incompleteHeads() > 0);
}

TEST_CASE("A later request of a connection that ends inside its head is not handled")
{
    recording_server recorder;
    for (std::size_t length = 1; length < head.size(); length += 3) {
        CAPTURE(length);
        const auto before = recorder.handled();
        const auto received = sendAndEnd(recorder.address(), whole + head.substr(0, length), client_end::half_close);
        CHECK(countAnswers(received, "HTTP/1.1 200") == 1);
        CHECK(recorder.handled() == before + 1);
    }
}

TEST_CASE("A whole request is handled although its client sends nothing more")
{
    recording_server recorder;
    const std::string withoutBody = "GET /fetch/record HTTP/1.1\r\nHost: a.example\r\n\r\n";
    CHECK(countAnswers(sendAndEnd(recorder.address(), withoutBody, client_end::half_close), "HTTP/1.1 200") == 1);
    CHECK(countAnswers(sendAndEnd(recorder.address(), whole, client_end::half_close), "HTTP/1.1 200") == 1);
    CHECK(countAnswers(sendAndEnd(recorder.address(), whole + withoutBody + whole, client_end::half_close), "HTTP/1.1 200") == 3);
    CHECK(recorder.handled() == 5);
    CHECK(recorder.server().incompleteHeads() == 0);
}

TEST_CASE("A head in pieces is read as a whole one")
{
    recording_server recorder;
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(recorder.address().host, recorder.address().port));
    socket.setReceiveTimeout(Poco::Timespan(3, 0));
    socket.setNoDelay(true);
    for (const char byte : whole) {
        socket.sendBytes(&byte, 1);
    }
    socket.shutdownSend();
    CHECK(countAnswers(receiveUntilClosed(socket), "HTTP/1.1 200") == 1);
}

// The server shuts down the receiving side of connections that it takes for idle.
TEST_CASE("A request whose head arrives in part while the server finishes is not handled")
{
    for (std::size_t length = 1; length < head.size(); length += 9) {
        CAPTURE(length);
        recording_server recorder;
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(recorder.address().host, recorder.address().port));
        socket.setReceiveTimeout(Poco::Timespan(3, 0));
        socket.sendBytes(head.data(), static_cast<int>(length));
        REQUIRE(isWithin(duration(1000), [&] { return recorder.server().openConnections() == 1; }));
        std::this_thread::sleep_for(duration(20));
        std::thread finishing([&] { recorder.server().finish(); });
        receiveUntilClosed(socket);
        finishing.join();
        CHECK(recorder.handled() == 0);
    }
}
