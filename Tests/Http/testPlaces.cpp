// SPDX-License-Identifier: Apache-2.0
// Guards against clients that hold all places of a server with requests that they do not finish.
#include "Libraries/Http/connection_eviction.h"
#include "Libraries/Http/http_server.h"
#include "Tests/Fakes/free_port.h"
#include "Tests/Fakes/raw_client.h"

#include <catch2/catch.hpp>

#include <memory>
#include <thread>
#include <vector>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr bool hasServed = true;
const std::string ordinaryRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

connection_state waiting(connection_phase phase, int milliseconds, bool served = false)
{
    return {phase, served, duration(milliseconds)};
}

class small_server
{
public:
    small_server()
        : m_address(freePort())
        , m_server(m_address, limits(), [](http_exchange &exchange) { handle(exchange); })
    {
    }

    const endpoint &address() const
    {
        return m_address;
    }

    void setHeadLimits(std::size_t size, duration timeout)
    {
        m_heads->size = size;
        m_heads->timeout = timeout;
    }

private:
    http_server_limits limits() const
    {
        http_server_limits limits;
        limits.maximumThreads = 4;
        limits.heads = m_heads;
        return limits;
    }

    static void handle(http_exchange &exchange)
    {
        reason why;
        if (exchange.readBody(100, duration(10000), why)) {
            exchange.send(200, "text/plain", "answer");
        } else {
            exchange.sendError(why);
        }
    }

    endpoint m_address;
    std::shared_ptr<head_limits> m_heads = std::make_shared<head_limits>();
    http_server m_server;
};

} // namespace

TEST_CASE("The connection that has waited longest without a whole head is closed first")
{
    CHECK(connectionToClose(
              {waiting(connection_phase::head, 200), waiting(connection_phase::idle, 300), waiting(connection_phase::head, 250)})
          == 1U);
    CHECK(connectionToClose({waiting(connection_phase::body, 5000), waiting(connection_phase::head, 200)}) == 1U);
    CHECK(connectionToClose({waiting(connection_phase::head, 200), waiting(connection_phase::closing, 10)}) == 1U);
}

TEST_CASE("A kept connection is closed for a new one only if no request stands still")
{
    CHECK(connectionToClose({waiting(connection_phase::idle, 9000, hasServed), waiting(connection_phase::body, 400)}) == 1U);
    CHECK(connectionToClose({waiting(connection_phase::idle, 2000, hasServed), waiting(connection_phase::idle, 9000, hasServed)}) == 1U);
}

TEST_CASE("No connection is closed whose request is handled, or whose client has had no time to send it")
{
    CHECK_FALSE(connectionToClose({waiting(connection_phase::handling, 90000),
                                   waiting(connection_phase::idle, 50),
                                   waiting(connection_phase::head, 50),
                                   waiting(connection_phase::body, 50),
                                   waiting(connection_phase::idle, 500, hasServed)}));
}

TEST_CASE("A request is answered while unfinished ones hold each place of the server")
{
    const std::vector<std::string> unfinished{
        "", "G", "GET / HTTP/1.1\r\nHost: h\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx"};
    for (const auto &beginning : unfinished) {
        INFO(beginning);
        small_server server;
        std::vector<std::unique_ptr<raw_client>> crowd;
        for (int i = 0; i < 12; ++i) {
            crowd.push_back(std::make_unique<raw_client>(server.address()));
            crowd.back()->send(beginning);
        }
        raw_client ordinary(server.address());
        ordinary.send(ordinaryRequest);
        CHECK(ordinary.receiveAll().starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("A head that does not end within its time as a whole is refused, however often bytes of it arrive")
{
    small_server server;
    server.setHeadLimits(16384, duration(400));
    raw_client client(server.address());
    client.send("GET / HTTP/1.1\r\nHost: h\r\nX-Field: ");
    std::thread sender([&] {
        try {
            for (int i = 0; i < 20; ++i) {
                std::this_thread::sleep_for(duration(50));
                client.send("x");
            }
        } catch (const Poco::Exception &) {
            // The server has closed the connection.
            return;
        }
    });
    CHECK(client.receiveAll().starts_with("HTTP/1.1 408"));
    sender.join();
}

TEST_CASE("A head above the limit for its size is refused, and one just under it is read")
{
    small_server server;
    constexpr std::size_t limit = 4000;
    server.setHeadLimits(limit, duration(1000));
    for (const auto size : {limit - 100, 3 * limit}) {
        raw_client client(server.address());
        std::string head = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";
        while (head.size() + 60 < size) {
            head += "X-" + std::to_string(head.size()) + ": " + std::string(40, 'x') + "\r\n";
        }
        client.send(head + (size < limit ? "\r\n" : ""));
        CHECK(client.receiveAll().starts_with(size < limit ? "HTTP/1.1 200" : "HTTP/1.1 431"));
    }
}
