// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_exchange_data.h"

#include "Libraries/Base/log.h"
#include "Libraries/Http/accepted_connection.h"
#include "Libraries/Http/message_framing.h"
#include "Libraries/Http/open_connections.h"
#include "Libraries/Http/poco_timespan.h"
#include "Libraries/Http/request_pace.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <mutex>

namespace vetchpost {

namespace {

constexpr part_log httpLog("http");
/// How often a shutdown checks whether the threads of the connections have ended.
constexpr duration finishPollPeriod(5);

/// Decides which new connections the server accepts, and makes room for them. Thread-safe.
class new_connection_filter : public Poco::Net::TCPServerConnectionFilter
{
public:
    new_connection_filter(double requestsPerSecond, std::function<void()> makeRoom)
        : m_pace(makeRequestPace(requestsPerSecond, monotonicNow()))
        , m_makeRoom(std::move(makeRoom))
    {
    }

    /// Called for each connection. One that is not accepted is closed.
    bool accept(const Poco::Net::StreamSocket & /*socket*/) override
    {
        if (!takeRoom()) {
            return false;
        }
        m_makeRoom();
        return true;
    }

    /// Counts a request after the first one on its connection.
    void countFurtherRequest()
    {
        const std::lock_guard lock(m_mutex);
        takeRoomForRequest(m_pace, monotonicNow());
    }

    std::uint64_t closed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    bool takeRoom()
    {
        const std::lock_guard lock(m_mutex);
        const bool hasRoom = m_pace.perSecond <= 0 || takeRoomForConnection(m_pace, monotonicNow());
        m_closed += hasRoom ? 0 : 1;
        return hasRoom;
    }

    mutable std::mutex m_mutex;
    request_pace m_pace;
    const std::function<void()> m_makeRoom;
    std::uint64_t m_closed = 0;
};

/// What all connections of one server share.
struct server_parts
{
    http_server::handler handle;
    open_connections connections;
    connection_rules rules;
    std::shared_ptr<body_memory> bodies;
    Poco::AutoPtr<new_connection_filter> filter;
    /// Whether connections wait for a thread.
    std::function<bool()> isFull;
    std::atomic<std::uint64_t> incompleteHeads = 0;
};

reason reasonOf(head_problem problem)
{
    switch (problem) {
    case head_problem::too_large:
        return {error_kind::head_too_large, "the request's head is too large"};
    case head_problem::too_slow:
        return {error_kind::slow_sender, "the request's head did not arrive in time"};
    case head_problem::interrupted:
        return {error_kind::overloaded, "the request's head was incomplete when the connection was needed for others"};
    case head_problem::ended:
        break;
    }
    return {error_kind::malformed_request, "the request's head is incomplete"};
}

class exchange_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit exchange_handler(server_parts &parts)
        : m_parts(parts)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        auto &tracked = tracked_connection::current();
        m_parts.connections.active.fetch_add(1);
        tracked.setBusy(true);
        if (m_parts.connections.isFinishing || m_parts.isFull()) {
            response.setKeepAlive(false);
        }
        const auto number = tracked.countRequest();
        if (number > 1) {
            m_parts.filter->countFurtherRequest();
        }
        http_exchange::private_data data(request, response, *m_parts.bodies);
        data.number = number;
        data.canDetectDisconnect = !tracked.hasStoppedReading();
        if (const auto decoder = decoderForRequest(request, data.framingProblem)) {
            data.body.emplace(data.session(), *decoder);
        }
        http_exchange exchange(data);
        // POCO reads no further than the blank line that ends a head.
        auto &connection = connectionOf(data.socket());
        try {
            if (connection.hasMetEnd()) {
                connection.discardRestOnClose();
                refuseIncompleteHead(exchange, connection.headProblem());
            } else if (!connection.enter(connection_phase::handling)) {
                exchange.sendError({error_kind::overloaded, "the connection was needed for others"});
            } else {
                handle(data, exchange);
            }
            if (data.stream != nullptr && !data.isAnswerComplete) {
                // POCO would end a chunked body as if it were whole.
                exchange.abort();
            }
        } catch (const std::exception &error) {
            httpLog.warning("A response could not be sent. error={}", error.what());
            exchange.abort();
        }
        if (!data.isBodyComplete()) {
            connection.discardRestOnClose();
        }
        connection.endRequest();
        tracked.setBusy(false);
        m_parts.connections.active.fetch_sub(1);
    }

private:
    void refuseIncompleteHead(http_exchange &exchange, head_problem problem)
    {
        m_parts.incompleteHeads.fetch_add(1);
        const auto why = reasonOf(problem);
        // Lines about clients that exceed limits could come at any rate.
        if (problem == head_problem::ended) {
            httpLog.warning("A request is not handled, since its head is incomplete.");
        }
        exchange.closeAfterResponse();
        exchange.sendError(why);
    }

    void handle(http_exchange::private_data &data, http_exchange &exchange)
    {
        try {
            data.uri = Poco::URI(data.request.getURI());
            data.path = data.uri.getPath();
        } catch (const Poco::Exception &) {
            exchange.sendError({error_kind::malformed_request, "the request's target is not a valid URI"});
            return;
        }
        try {
            m_parts.handle(exchange);
        } catch (const std::exception &error) {
            httpLog.error("A handler failed. path={} error={}", data.path, error.what());
            if (!exchange.hasBegun()) {
                exchange.sendError({error_kind::internal, "an internal error"});
            } else {
                exchange.abort();
            }
        }
    }

    server_parts &m_parts;
};

class exchange_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit exchange_handler_factory(server_parts &parts)
        : m_parts(parts)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new exchange_handler(m_parts);
    }

private:
    server_parts &m_parts;
};

class tracked_connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    tracked_connection_factory(Poco::Net::HTTPServerParams::Ptr parameters,
                               Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                               open_connections &connections)
        : m_parameters(std::move(parameters))
        , m_handlers(std::move(handlers))
        , m_connections(connections)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new tracked_connection(socket, m_parameters, m_handlers, m_connections);
    }

private:
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_handlers;
    open_connections &m_connections;
};

} // namespace

struct http_server::private_data
{
    server_parts parts;
    Poco::ThreadPool threads;
    /// Closed once the server has stopped accepting. Connections that wait in its backlog are then closed immediately, instead of when the
    /// process exits.
    accepting_socket listener;
    std::unique_ptr<Poco::Net::TCPServer> server;

    private_data(const http_server_limits &limits, handler handler)
        : threads("http", 2, limits.maximumThreads, 60, static_cast<int>(limits.threadStackBytes))
        , listener(parts.rules)
    {
        parts.handle = std::move(handler);
        parts.bodies = limits.bodies ? limits.bodies : std::make_shared<body_memory>();
        parts.rules.heads = limits.heads ? limits.heads : std::make_shared<head_limits>();
        parts.isFull = [this] { return server->queuedConnections() > 0; };
        const auto places = limits.maximumThreads - sparePlaces(limits.maximumThreads);
        parts.rules.makeRoom = [this, places] {
            if (parts.isFull()) {
                parts.connections.makeRoom(places - server->queuedConnections());
            }
        };
        parts.filter = new new_connection_filter(limits.requestsPerSecond,
                                                 [this, places] { parts.connections.makeRoom(places - server->queuedConnections() - 1); });
    }
};

http_server::http_server(const endpoint &address, const http_server_limits &limits, handler handle)
    : d(std::make_unique<private_data>(limits, std::move(handle)))
{
    d->listener.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    constexpr int backlog = 512;
    d->listener.listen(backlog);
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(limits.maximumThreads);
    parameters->setMaxQueued(limits.maximumQueued);
    parameters->setTimeout(timespanOf(limits.requestTimeout));
    parameters->setKeepAliveTimeout(timespanOf(limits.keepAliveTimeout));
    const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers = new exchange_handler_factory(d->parts);
    d->server = std::make_unique<Poco::Net::TCPServer>(
        new tracked_connection_factory(parameters, handlers, d->parts.connections), d->threads, d->listener, parameters);
    d->server->setConnectionFilter(d->parts.filter);
    d->server->start();
}

http_server::~http_server()
{
    stopAll();
}

void http_server::stopAccepting()
{
    d->server->stop();
}

// Idle connections are closed first, because the accepting thread takes up to 250 ms to stop. A connection that it accepts in the meantime
// is closed as soon as it is idle.
void http_server::finish()
{
    d->parts.connections.finishIdle();
    d->server->stop();
    d->listener.close();
    // The thread of a connection that was accepted just before the stop adds it to the list only now, so the threads are waited for too.
    while (!d->parts.connections.waitUntilEmpty(finishPollPeriod) || d->server->currentThreads() > 0) { }
}

int http_server::activeRequests() const
{
    return d->parts.connections.active.load();
}

std::uint64_t http_server::connectionsInterrupted() const
{
    return d->parts.connections.interrupted.load();
}

std::uint64_t http_server::incompleteHeads() const
{
    return d->parts.incompleteHeads.load();
}

std::uint64_t http_server::connectionsClosedUnread() const
{
    return d->parts.filter->closed();
}

int http_server::openConnections() const
{
    return d->parts.connections.count();
}

void http_server::stopAll()
{
    d->server->stop();
    d->parts.connections.shutDownAll();
    d->threads.joinAll();
}

} // namespace vetchpost
