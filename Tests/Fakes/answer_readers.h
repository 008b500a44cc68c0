// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_client.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/http_tunnel.h"
#include "Libraries/Http/http_upstream.h"
#include "Tests/Fakes/free_port.h"

#include <Poco/Net/ServerSocket.h>

#include <array>

/// The paths on which answers are read. Each reader sends a request and tells whether it takes what it receives for a whole answer.
namespace vetchpost::test {

constexpr duration callTimeout(2000);

inline http_call callTo(const endpoint &to)
{
    http_call call;
    call.to = to;
    call.receiveTimeout = callTimeout;
    return call;
}

/// Whether a request that has been sent on \a upstream is answered whole.
inline bool isAnsweredWhole(http_upstream &upstream)
{
    reason why;
    const auto deadline = monotonicNow() + callTimeout;
    if (upstream.waitForAnswer(deadline, -1) != upstream_event::data || !upstream.readHead(why)) {
        return false;
    }
    auto event = upstream_event::data;
    for (std::string piece; event == upstream_event::data;) {
        event = upstream.nextPiece(piece, deadline, -1);
    }
    return event == upstream_event::end;
}

inline bool upstreamTakesForWhole(const http_call &call)
{
    http_upstream upstream;
    reason why;
    return upstream.send(call, why) && isAnsweredWhole(upstream);
}

/// The first side of the race is silent.
inline bool raceTakesForWhole(const http_call &call)
{
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    http_upstream first;
    http_upstream second;
    reason why;
    if (!first.send(callTo({"127.0.0.1", silent.address().port()}), why) || !second.send(call, why)) {
        return false;
    }
    const auto event = upstream_pair(first, second).wait(monotonicNow() + callTimeout, -1);
    return event.isSecondReady && isAnsweredWhole(second);
}

inline bool ownCallTakesForWhole(const http_call &call)
{
    reason why;
    return sendOnFreshConnection(call, why).has_value();
}

inline bool keptConnectionTakesForWhole(const http_call &call)
{
    http_connection_pool pool;
    reason why;
    return pool.send(call, why).has_value();
}

inline bool ownStreamTakesForWhole(const http_call &call)
{
    constexpr std::size_t limit = 1000;
    http_stream stream;
    reason why;
    return stream.open(call, why) && stream.readRest(limit);
}

/// Sends the request through a tunnel.
inline bool tunnelTakesForWhole(const http_call &call)
{
    const auto proxyAddress = freePort();
    const http_server proxy(proxyAddress, {}, [&](http_exchange &exchange) {
        connect_failure failure{};
        reason why;
        if (const auto connection = connectTo(call.to, callTimeout, failure, why)) {
            exchange.tunnelTo(*connection, monotonicNow() + callTimeout);
        }
    });
    tunnel_refusal refusal;
    reason why;
    const auto tunnel = openTunnel(callTo(proxyAddress), "replica", refusal, why);
    http_upstream upstream;
    return tunnel && upstream.send(*tunnel, call, why) && isAnsweredWhole(upstream);
}

struct answer_reader
{
    const char *name;
    bool (*takesForWhole)(const http_call &call);
};

inline constexpr std::array answerReaders = {answer_reader{"request to a replica", upstreamTakesForWhole},
                                             answer_reader{"second side of a race", raceTakesForWhole},
                                             answer_reader{"own call", ownCallTakesForWhole},
                                             answer_reader{"own call on a kept connection", keptConnectionTakesForWhole},
                                             answer_reader{"own stream", ownStreamTakesForWhole}};

} // namespace vetchpost::test
