// SPDX-License-Identifier: Apache-2.0
// A TCP_USER_TIMEOUT decides when keep-alive probes give up a connection, whatever their count, and some libraries set one by themselves.
#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/tcp_connection.h"
#include "Tests/Fakes/free_port.h"

#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocketImpl.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// The socket's TCP_USER_TIMEOUT in milliseconds; -1 if it cannot be read.
int userTimeoutOf(int socket)
{
    unsigned int milliseconds = 0;
    socklen_t size = sizeof(milliseconds);
    return getsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, &size) == 0 ? static_cast<int>(milliseconds) : -1;
}

} // namespace

TEST_CASE("No library gives up a silent connection by a TCP_USER_TIMEOUT of its own, on either side")
{
    std::atomic<int> atServer = -1;
    const auto address = freePort();
    http_server server(address, http_server_limits(), [&](http_exchange &exchange) {
        atServer = userTimeoutOf(exchange.socketDescriptor());
        exchange.send(200, "text/plain", "whole");
    });
    connect_failure failure{};
    reason why;
    const auto connection = connectTo(address, duration(1000), failure, why);
    REQUIRE(connection);
    CHECK(userTimeoutOf(connection->socket().impl()->sockfd()) == 0);
    http_call call;
    call.to = address;
    REQUIRE(sendOn(*connection, call, why));
    CHECK(atServer == 0);
}
