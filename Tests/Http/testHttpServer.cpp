// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_server.h"
#include "Tests/Fakes/free_port.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include <poll.h>

#include <atomic>
#include <iterator>
#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// Sends a GET request on an open connection and returns the status of the response; 0 if there is none.
int requestStatus(Poco::Net::HTTPClientSession &session, const std::string &path)
{
    try {
        Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPMessage::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        auto &body = session.receiveResponse(response);
        const std::string text{std::istreambuf_iterator<char>(body), std::istreambuf_iterator<char>()};
        return response.getStatus();
    } catch (const Poco::Exception &) {
        return 0;
    }
}

} // namespace

TEST_CASE("A graceful shutdown answers requests that were read and reads no further ones")
{
    constexpr duration slowTime(400);
    std::atomic<int> handled = 0;
    const auto address = freePort();
    http_server server(address, http_server_limits(), [&](http_exchange &exchange) {
        ++handled;
        if (exchange.path() == "/slow") {
            std::this_thread::sleep_for(slowTime);
        }
        exchange.send(200, "text/plain", "whole");
    });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(address.host, address.port));
    Poco::Net::HTTPClientSession idle(socket);
    idle.setKeepAlive(true);
    REQUIRE(requestStatus(idle, "/quick") == 200);

    std::optional<http_reply> slowReply;
    std::thread client([&] {
        http_call call;
        call.to = address;
        call.target = "/slow";
        reason why;
        slowReply = sendOnFreshConnection(call, why);
    });
    std::this_thread::sleep_for(slowTime / 4);
    server.finish();
    // finish() returned only after the current request was answered.
    CHECK(handled == 2);
    CHECK(server.activeRequests() == 0);
    client.join();
    REQUIRE(slowReply);
    CHECK(slowReply->body == "whole");
    CHECK(requestStatus(idle, "/quick") == 0);
    CHECK(handled == 2);
}

TEST_CASE("A graceful shutdown closes idle connections immediately, however many are busy")
{
    constexpr duration slowTime(600);
    const auto address = freePort();
    http_server server(address, http_server_limits(), [&](http_exchange &exchange) {
        if (exchange.path() == "/slow") {
            std::this_thread::sleep_for(slowTime);
        }
        exchange.send(200, "text/plain", "whole");
    });
    std::atomic<int> answered = 0;
    std::vector<std::thread> clientThreads;
    clientThreads.reserve(6);
    for (int i = 0; i < 6; ++i) {
        clientThreads.emplace_back([&] {
            http_call call;
            call.to = address;
            call.target = "/slow";
            reason why;
            answered += sendOnFreshConnection(call, why) ? 1 : 0;
        });
    }
    std::vector<Poco::Net::StreamSocket> idle;
    idle.reserve(6);
    for (int i = 0; i < 6; ++i) {
        idle.emplace_back(Poco::Net::SocketAddress(address.host, address.port));
    }
    std::this_thread::sleep_for(slowTime / 4);
    const auto startedAt = monotonicNow();
    std::thread finishing([&] { server.finish(); });
    for (auto &socket : idle) {
        socket.setReceiveTimeout(Poco::Timespan(2, 0));
        char byte = 0;
        CHECK(socket.receiveBytes(&byte, 1) == 0);
    }
    CHECK(monotonicNow() - startedAt < slowTime / 2);
    finishing.join();
    for (auto &thread : clientThreads) {
        thread.join();
    }
    CHECK(answered == 6);
}

TEST_CASE("A request that is read during a graceful shutdown is answered and does not look as if its client had disconnected")
{
    constexpr int rounds = 20;
    constexpr int clients = 24;
    constexpr int timeoutSeconds = 5;
    std::atomic<int> disconnectsSeen = 0;
    std::atomic<int> broken = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto address = freePort();
        http_server server(address, http_server_limits(), [&](http_exchange &exchange) {
            pollfd watched{exchange.socketDescriptor(), POLLRDHUP, 0};
            poll(&watched, 1, 1);
            disconnectsSeen += (watched.revents & POLLRDHUP) != 0 ? 1 : 0;
            exchange.send(200, "text/plain", "whole");
        });
        std::vector<std::thread> clientThreads;
        clientThreads.reserve(clients);
        for (int i = 0; i < clients; ++i) {
            clientThreads.emplace_back([&] {
                try {
                    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(address.host, address.port));
                    Poco::Net::HTTPClientSession session(socket);
                    session.setKeepAlive(true);
                    session.setTimeout(Poco::Timespan(timeoutSeconds, 0));
                    bool isOpen = true;
                    while (isOpen) {
                        isOpen = requestStatus(session, "/quick") == 200 && session.connected();
                    }
                } catch (const Poco::Exception &) {
                    // The connection was closed between two requests, or the server no longer accepts connections.
                    ++broken;
                }
            });
        }
        std::this_thread::sleep_for(duration(10));
        server.finish();
        for (auto &thread : clientThreads) {
            thread.join();
        }
    }
    CHECK(disconnectsSeen == 0);
}

TEST_CASE("A connection in the backlog is closed immediately by a graceful shutdown")
{
    const auto address = freePort();
    http_server server(address, http_server_limits(), [](http_exchange &exchange) { exchange.send(200, "text/plain", "whole"); });
    server.stopAccepting();
    Poco::Net::StreamSocket waiting(Poco::Net::SocketAddress(address.host, address.port));
    waiting.setReceiveTimeout(Poco::Timespan(2, 0));
    const auto startedAt = monotonicNow();
    server.finish();
    char byte = 0;
    int received = 0;
    bool isLeftOpen = false;
    try {
        received = waiting.receiveBytes(&byte, 1);
    } catch (const Poco::TimeoutException &) {
        isLeftOpen = true;
    } catch (const Poco::Net::NetException &) {
        // A reset closes the connection as well.
        received = 0;
    }
    CHECK_FALSE(isLeftOpen);
    CHECK(received == 0);
    CHECK(monotonicNow() - startedAt < duration(1000));
}
