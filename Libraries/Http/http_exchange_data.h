// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/accepted_connection.h"
#include "Libraries/Http/body_memory.h"
#include "Libraries/Http/body_reader.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <algorithm>
#include <ostream>

namespace vetchpost {

/// The POCO objects and the state of a request that is being handled.
struct http_exchange::private_data
{
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    Poco::URI uri;
    std::string path;
    int number = 1;
    bool canDetectDisconnect = true;
    std::ostream *stream = nullptr;
    /// The whole body of an answer that was begun has been written.
    bool isAnswerComplete = false;
    /// Reads the body of the request; empty if the request's framing is malformed.
    std::optional<body_reader> body;
    /// Why there is no body reader.
    reason framingProblem;
    body_memory_share memory;

    private_data(Poco::Net::HTTPServerRequest &handledRequest, Poco::Net::HTTPServerResponse &itsResponse, body_memory &bodies)
        : request(handledRequest)
        , response(itsResponse)
        , memory(bodies)
    {
    }

    /// Whether the next request begins at the next byte of the connection.
    bool isBodyComplete() const
    {
        return body && body->current() == body_decoder::state::complete;
    }

    /// Waits until bytes of the body arrive or the client closes the connection. Returns false at \a deadline, and soon after the body has
    /// been given up.
    bool waitForBody(instant deadline) const
    {
        for (;;) {
            const auto left = std::clamp(deadline - monotonicNow(), duration(), maxSteadyWait);
            if (socket().poll(timespanOf(left), Poco::Net::Socket::SELECT_READ)) {
                return true;
            }
            if (memory.isGivenUp() || connectionOf(socket()).isInterrupted() || monotonicNow() >= deadline) {
                return false;
            }
        }
    }

    Poco::Net::HTTPServerSession &session() const
    {
        return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).session();
    }

    Poco::Net::StreamSocket &socket() const
    {
        return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    }
};

} // namespace vetchpost
