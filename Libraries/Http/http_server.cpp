// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_exchange_data.h"

#include "Libraries/Base/log.h"
#include "Libraries/Http/accepted_connection.h"
#include "Libraries/Http/message_framing.h"
#include "Libraries/Http/poco_timespan.h"
#include "Libraries/Http/request_pace.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

constexpr part_log httpLog("http");
/// How often a shutdown checks whether the threads of the connections have ended.
constexpr duration finishPollPeriod(5);

} // namespace

namespace {

class tracked_connection;

/// The connections of one server. The list lets the server close all idle connections when it shuts down.
struct open_connections
{
    std::mutex mutex;
    std::condition_variable changed;
    std::set<tracked_connection *> all;
    std::atomic<bool> isFinishing = false;
    std::atomic<int> active = 0;
    std::atomic<std::uint64_t> incompleteHeads = 0;
};

/// Decides which new connections the server accepts. Thread-safe.
class pace_filter : public Poco::Net::TCPServerConnectionFilter
{
public:
    explicit pace_filter(double requestsPerSecond)
        : m_pace(makeRequestPace(requestsPerSecond, monotonicNow()))
    {
    }

    /// Called for each connection. One that is not accepted is closed.
    bool accept(const Poco::Net::StreamSocket & /*socket*/) override
    {
        const std::lock_guard lock(m_mutex);
        const bool hasRoom = m_pace.perSecond <= 0 || takeRoomForConnection(m_pace, monotonicNow());
        m_closed += hasRoom ? 0 : 1;
        return hasRoom;
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
    mutable std::mutex m_mutex;
    request_pace m_pace;
    std::uint64_t m_closed = 0;
};

/// The connection that is served by the current thread.
thread_local tracked_connection *currentConnection = nullptr;

class tracked_connection : public Poco::Net::HTTPServerConnection
{
public:
    tracked_connection(const Poco::Net::StreamSocket &socket,
                       Poco::Net::HTTPServerParams::Ptr parameters,
                       Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                       open_connections &connections)
        : HTTPServerConnection(socket, std::move(parameters), std::move(factory))
        , m_connections(connections)
    {
        const std::lock_guard lock(m_connections.mutex);
        m_connections.all.insert(this);
        if (m_connections.isFinishing) {
            stopReading();
        }
    }

    ~tracked_connection() override
    {
        const std::lock_guard lock(m_connections.mutex);
        m_connections.all.erase(this);
        m_connections.changed.notify_all();
    }

    tracked_connection(const tracked_connection &) = delete;
    tracked_connection &operator=(const tracked_connection &) = delete;

    void run() override
    {
        currentConnection = this;
        HTTPServerConnection::run();
    }

    void setBusy(bool isBusy)
    {
        const std::lock_guard lock(m_connections.mutex);
        m_isBusy = isBusy;
        if (!isBusy && m_connections.isFinishing) {
            stopReading();
        }
    }

    bool isBusy() const
    {
        return m_isBusy;
    }

    /// Counts a request that has been read. Returns how many have been read on this connection.
    int countRequest()
    {
        return ++m_requests;
    }

    /// Whether the server shut down the receiving side of the socket, which a poll cannot distinguish from a disconnect of the client.
    bool hasStoppedReading() const
    {
        return m_hasStoppedReading;
    }

    /// Shuts down the receiving side, unless bytes have already arrived. A request that has arrived is still read and answered.
    void stopReading()
    {
        try {
            const bool hasArrived = socket().poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
            if (!hasArrived) {
                m_hasStoppedReading = true;
                socket().shutdownReceive();
            }
        } catch (const Poco::Exception &error) {
            httpLog.debug("A connection was already closed. error={}", error.displayText());
        }
    }

    /// Closes the connection immediately, also in the middle of a request.
    void shutDown()
    {
        try {
            socket().shutdown();
        } catch (const Poco::Exception &error) {
            httpLog.debug("A connection was already closed. error={}", error.displayText());
        }
    }

private:
    open_connections &m_connections;
    bool m_isBusy = false;
    bool m_hasStoppedReading = false;
    int m_requests = 0;
};

class exchange_handler : public Poco::Net::HTTPRequestHandler
{
public:
    exchange_handler(const http_server::handler &handle, open_connections &connections, pace_filter &pace, body_memory &bodies)
        : m_handle(handle)
        , m_connections(connections)
        , m_pace(pace)
        , m_bodies(bodies)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        m_connections.active.fetch_add(1);
        currentConnection->setBusy(true);
        if (m_connections.isFinishing) {
            response.setKeepAlive(false);
        }
        const auto number = currentConnection->countRequest();
        if (number > 1) {
            m_pace.countFurtherRequest();
        }
        http_exchange::private_data data(request, response, m_bodies);
        data.number = number;
        data.canDetectDisconnect = !currentConnection->hasStoppedReading();
        if (const auto decoder = decoderForRequest(request, data.framingProblem)) {
            data.body.emplace(data.session(), *decoder);
        }
        http_exchange exchange(data);
        // POCO reads no further than the blank line that ends a head.
        const bool isHeadIncomplete = hasMetEnd(data.socket());
        try {
            if (isHeadIncomplete) {
                refuseIncompleteHead(exchange);
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
        forgetEnd(data.socket());
        currentConnection->setBusy(false);
        m_connections.active.fetch_sub(1);
    }

private:
    void refuseIncompleteHead(http_exchange &exchange)
    {
        m_connections.incompleteHeads.fetch_add(1);
        httpLog.warning("A request is not handled, since its head is incomplete.");
        exchange.sendError({error_kind::malformed_request, "the request's head is incomplete"});
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
            m_handle(exchange);
        } catch (const std::exception &error) {
            httpLog.error("A handler failed. path={} error={}", data.path, error.what());
            if (!exchange.hasBegun()) {
                exchange.sendError({error_kind::internal, "an internal error"});
            } else {
                exchange.abort();
            }
        }
    }

    const http_server::handler &m_handle;
    open_connections &m_connections;
    pace_filter &m_pace;
    body_memory &m_bodies;
};

class exchange_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    exchange_handler_factory(const http_server::handler &handle, open_connections &connections, pace_filter &pace, body_memory &bodies)
        : m_handle(handle)
        , m_connections(connections)
        , m_pace(pace)
        , m_bodies(bodies)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new exchange_handler(m_handle, m_connections, m_pace, m_bodies);
    }

private:
    const http_server::handler &m_handle;
    open_connections &m_connections;
    pace_filter &m_pace;
    body_memory &m_bodies;
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
    handler handle;
    open_connections connections;
    Poco::AutoPtr<pace_filter> pace;
    std::shared_ptr<body_memory> bodies;
    Poco::ThreadPool threads;
    /// Closed once the server has stopped accepting. Connections that wait in its backlog are then closed immediately, instead of when the
    /// process exits.
    accepting_socket listener;
    std::unique_ptr<Poco::Net::TCPServer> server;

    private_data(const http_server_limits &limits, handler handler)
        : handle(std::move(handler))
        , pace(new pace_filter(limits.requestsPerSecond))
        , bodies(limits.bodies ? limits.bodies : std::make_shared<body_memory>())
        , threads("http", 2, limits.maximumThreads, 60, static_cast<int>(limits.threadStackBytes))
    {
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
    const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers
        = new exchange_handler_factory(d->handle, d->connections, *d->pace, *d->bodies);
    d->server = std::make_unique<Poco::Net::TCPServer>(
        new tracked_connection_factory(parameters, handlers, d->connections), d->threads, d->listener, parameters);
    d->server->setConnectionFilter(d->pace);
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
    {
        const std::lock_guard lock(d->connections.mutex);
        d->connections.isFinishing = true;
        for (auto *connection : d->connections.all) {
            if (!connection->isBusy()) {
                connection->stopReading();
            }
        }
    }
    d->server->stop();
    d->listener.close();
    // The thread of a connection that was accepted just before the stop adds it to the list only now, so the threads are waited for too.
    std::unique_lock lock(d->connections.mutex);
    while (!d->connections.all.empty() || d->server->currentThreads() > 0) {
        d->connections.changed.wait_for(lock, finishPollPeriod);
    }
}

int http_server::activeRequests() const
{
    return d->connections.active.load();
}

std::uint64_t http_server::incompleteHeads() const
{
    return d->connections.incompleteHeads.load();
}

std::uint64_t http_server::connectionsClosedUnread() const
{
    return d->pace->closed();
}

int http_server::openConnections() const
{
    const std::lock_guard lock(d->connections.mutex);
    return static_cast<int>(d->connections.all.size());
}

void http_server::stopAll()
{
    d->server->stop();
    {
        const std::lock_guard lock(d->connections.mutex);
        d->connections.isFinishing = true;
        for (auto *connection : d->connections.all) {
            connection->shutDown();
        }
    }
    d->threads.joinAll();
}

} // namespace vetchpost
