// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/http_tunnel.h"
#include "Libraries/Http/http_upstream.h"
#include "Tests/Fakes/free_port.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration patience(3000);
/// An answer whose end is told by the end of its connection alone.
constexpr auto answerUntilClose = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";

/// A server that reads one request, answers it, and then lets \a finish end its connection.
class one_answer_server
{
public:
    explicit one_answer_server(std::function<void(Poco::Net::StreamSocket &)> finish)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, finish = std::move(finish)] {
            auto connection = m_socket.acceptConnection();
            std::array<char, 4096> bytes{};
            connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            connection.sendBytes(answerUntilClose, static_cast<int>(std::string_view(answerUntilClose).size()));
            finish(connection);
        })
    {
    }

    ~one_answer_server()
    {
        m_thread.join();
    }

    one_answer_server(const one_answer_server &) = delete;
    one_answer_server &operator=(const one_answer_server &) = delete;

    endpoint address() const
    {
        return {"127.0.0.1", m_socket.address().port()};
    }

private:
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

/// Serves tunnels to one server at \a own.
http_server makeProxy(const endpoint &own, const endpoint &server)
{
    return http_server(own, {}, [server](http_exchange &exchange) {
        if (exchange.target() == "refused") {
            exchange.setHeader("Why", "unknown");
            exchange.send(404, "text/plain", "");
            return;
        }
        connect_failure failure{};
        reason why;
        const auto connection = connectTo(server, patience, failure, why);
        exchange.tunnelTo(*connection, monotonicNow() + patience);
    });
}

http_call callTo(const endpoint &proxy)
{
    http_call call;
    call.to = proxy;
    call.receiveTimeout = patience;
    return call;
}

/// Sends a request through a tunnel and reads the answer. Returns the last event, and the body.
std::pair<upstream_event, std::string> requestThrough(
    const endpoint &proxy, const std::function<void()> &didBegin = [] {})
{
    tunnel_refusal refusal;
    reason why;
    auto tunnel = openTunnel(callTo(proxy), "server", refusal, why);
    REQUIRE(tunnel);
    http_upstream upstream;
    REQUIRE(upstream.send(*tunnel, callTo(proxy), why));
    REQUIRE(upstream.waitForAnswer(monotonicNow() + patience, -1) == upstream_event::data);
    REQUIRE(upstream.readHead(why));
    std::string body;
    std::string piece;
    auto event = upstream.nextPiece(piece, monotonicNow() + patience, -1);
    didBegin();
    while (event == upstream_event::data) {
        body += piece;
        event = upstream.nextPiece(piece, monotonicNow() + patience, -1);
    }
    return {event, body};
}

} // namespace

TEST_CASE("An answer that ends with its connection is whole through a tunnel if its server closed the connection")
{
    const one_answer_server server([](Poco::Net::StreamSocket &connection) { connection.close(); });
    const auto proxyAddress = freePort();
    const auto proxy = makeProxy(proxyAddress, server.address());
    const auto [event, body] = requestThrough(proxyAddress);
    CHECK(event == upstream_event::end);
    CHECK(body == "half");
}

TEST_CASE("An answer that ends with its connection is not whole through a tunnel if its server reset the connection")
{
    const one_answer_server server([](Poco::Net::StreamSocket &connection) {
        std::this_thread::sleep_for(duration(100));
        connection.setLinger(true, 0);
        connection.close();
    });
    const auto proxyAddress = freePort();
    const auto proxy = makeProxy(proxyAddress, server.address());
    CHECK(requestThrough(proxyAddress).first == upstream_event::lost);
}

TEST_CASE("An answer that ends with its connection is not whole if the process that carries its tunnel is killed")
{
    std::atomic<bool> isOver = false;
    const one_answer_server server([&](Poco::Net::StreamSocket & /*connection*/) {
        while (!isOver) {
            std::this_thread::sleep_for(duration(10));
        }
    });
    const auto proxyAddress = freePort();
    const auto carrier = fork();
    if (carrier == 0) {
        const auto proxy = makeProxy(proxyAddress, server.address());
        pause();
        _exit(0);
    }
    connect_failure failure{};
    reason why;
    while (!connectTo(proxyAddress, patience, failure, why)) {
        std::this_thread::sleep_for(duration(10));
    }
    const auto [event, body] = requestThrough(proxyAddress, [&] { kill(carrier, SIGKILL); });
    isOver = true;
    waitpid(carrier, nullptr, 0);
    CHECK(event == upstream_event::lost);
}

TEST_CASE("A refused tunnel tells its status and headers, and a proxy that is not there none")
{
    const one_answer_server server([](Poco::Net::StreamSocket & /*connection*/) {});
    const auto proxyAddress = freePort();
    const auto proxy = makeProxy(proxyAddress, server.address());
    tunnel_refusal refusal;
    reason why;
    CHECK_FALSE(openTunnel(callTo(proxyAddress), "refused", refusal, why));
    CHECK(refusal.status == 404);
    CHECK(headerValue(refusal.headers, "Why") == "unknown");
    CHECK(why.kind == error_kind::backend_unreachable);

    tunnel_refusal none;
    CHECK_FALSE(openTunnel(callTo(freePort()), "server", none, why));
    CHECK(none.status == 0);
    // Lets the server end.
    requestThrough(proxyAddress);
}
