// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_server.h"

#include "Libraries/Base/json.h"
#include "Libraries/Base/log.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/HTMLForm.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

constexpr part_log httpLog("http");

} // namespace

struct http_exchange::private_data
{
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    Poco::URI uri;
    std::string path;
    bool canSeeCallerLeave = true;
    std::ostream *stream = nullptr;

    Poco::Net::StreamSocket &socket() const
    {
        return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    }
};

http_exchange::http_exchange(private_data &data)
    : d(data)
{
}

const std::string &http_exchange::method() const
{
    return d.request.getMethod();
}

const std::string &http_exchange::path() const
{
    return d.path;
}

const std::string &http_exchange::target() const
{
    return d.request.getURI();
}

std::string http_exchange::query() const
{
    return d.uri.getRawQuery();
}

std::string http_exchange::queryParameter(std::string_view name) const
{
    for (const auto &[key, value] : d.uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string http_exchange::header(const std::string &name) const
{
    return d.request.get(name, "");
}

std::vector<http_header> http_exchange::headers() const
{
    std::vector<http_header> result;
    for (const auto &[name, value] : d.request) {
        result.push_back({name, value});
    }
    return result;
}

std::optional<std::string> http_exchange::readBody(std::size_t limit, duration timeout, reason &lastReason)
{
    const bool hasLength = d.request.hasContentLength();
    if (hasLength && static_cast<std::size_t>(d.request.getContentLength64()) > limit) {
        lastReason = {error_kind::body_too_large, fmt::format("the body may have at most {} bytes", limit)};
        return std::nullopt;
    }
    const auto deadline = monotonicNow() + timeout;
    std::string body;
    std::array<char, 8192> piece{};
    auto &in = d.request.stream();
    try {
        while (in.read(piece.data(), piece.size()) || in.gcount() > 0) {
            body.append(piece.data(), static_cast<std::size_t>(in.gcount()));
            if (body.size() > limit) {
                lastReason = {error_kind::body_too_large, fmt::format("the body may have at most {} bytes", limit)};
                return std::nullopt;
            }
            if (monotonicNow() > deadline) {
                lastReason = {error_kind::slow_sender, "the body did not arrive in time"};
                return std::nullopt;
            }
        }
    } catch (const std::exception &) {
        lastReason = {error_kind::slow_sender, "the body did not arrive in time"};
        return std::nullopt;
    }
    if (hasLength && static_cast<std::size_t>(d.request.getContentLength64()) != body.size()) {
        lastReason = {error_kind::slow_sender, "the body did not arrive whole in time"};
        return std::nullopt;
    }
    return body;
}

void http_exchange::setHeader(const std::string &name, const std::string &value)
{
    d.response.set(name, value);
}

void http_exchange::send(int status, const std::string &contentType, const std::string &body)
{
    d.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    d.response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(d.response.getStatus()));
    d.response.setContentType(contentType);
    d.response.sendBuffer(body.data(), body.size());
}

void http_exchange::sendError(const reason &why, const std::string &requestId, std::optional<duration> comeBackAfter)
{
    const auto &answer = errorAnswer(why.kind);
    Json::Value error;
    error["kind"] = std::string(answer.name);
    error["message"] = why.text;
    error["ran"] = std::string(runStateName(answer.ran));
    if (!requestId.empty()) {
        error["request_id"] = requestId;
    }
    if (answer.retryAfter.count() > 0 && !comeBackAfter) {
        error["retry_after_seconds"] = Json::Int64(answer.retryAfter.count());
        setHeader("Retry-After", std::to_string(answer.retryAfter.count()));
    } else if (answer.retryAfter.count() > 0) {
        const auto seconds = std::chrono::duration<double>(*comeBackAfter).count();
        error["retry_after_seconds"] = seconds;
        setHeader("Retry-After", fmt::format("{:.3f}", seconds));
    }
    Json::Value body;
    body["error"] = error;
    if (why.kind == error_kind::body_too_large || why.kind == error_kind::slow_sender || why.kind == error_kind::malformed_request) {
        // What is left of the body is not read: the connection cannot be used again.
        d.response.setKeepAlive(false);
    }
    send(answer.httpStatus, "application/json", toJsonText(body));
}

void http_exchange::beginStream(int status, const std::string &contentType)
{
    d.socket().setNoDelay(true);
    d.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    d.response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(d.response.getStatus()));
    d.response.setContentType(contentType);
    d.response.setChunkedTransferEncoding(true);
    d.stream = &d.response.send();
}

void http_exchange::beginAnswer(int status,
                                const std::string &reasonPhrase,
                                const std::vector<http_header> &headers,
                                std::optional<std::size_t> length)
{
    d.socket().setNoDelay(true);
    d.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    d.response.setReason(reasonPhrase);
    for (const auto &header : headers) {
        d.response.add(header.name, header.value);
    }
    if (length) {
        d.response.setContentLength(static_cast<std::streamsize>(*length));
    } else {
        d.response.setChunkedTransferEncoding(true);
    }
    d.stream = &d.response.send();
}

void http_exchange::closeAfterwards()
{
    d.response.setKeepAlive(false);
}

bool http_exchange::write(std::string_view piece)
{
    try {
        d.stream->write(piece.data(), static_cast<std::streamsize>(piece.size()));
        d.stream->flush();
        return d.stream->good();
    } catch (const std::exception &) {
        return false;
    }
}

void http_exchange::abort()
{
    d.response.setKeepAlive(false);
    try {
        d.socket().shutdown();
    } catch (const Poco::Exception &error) {
        httpLog.debug("A connection was already closed. error={}", error.displayText());
    }
}

bool http_exchange::hasBegun() const
{
    return d.response.sent();
}

int http_exchange::socketDescriptor() const
{
    constexpr int none = -1;
    return d.canSeeCallerLeave ? d.socket().impl()->sockfd() : none;
}

namespace {

class tracked_connection;

/// The connections of one server, so that all idle ones can be closed at once when it finishes.
struct open_connections
{
    std::mutex mutex;
    std::condition_variable changed;
    std::set<tracked_connection *> all;
    std::atomic<bool> isFinishing = false;
    std::atomic<int> active = 0;
};

/// The connection whose request the present thread answers.
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

    /// Whether the reading side was closed here, which looks as if the caller had closed it.
    bool hasStoppedReading() const
    {
        return m_hasStoppedReading;
    }

    /// What was read is still answered, and what has arrived is still read.
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

    void cut()
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
};

class exchange_handler : public Poco::Net::HTTPRequestHandler
{
public:
    exchange_handler(const http_server::handler &handle, open_connections &connections)
        : m_handle(handle)
        , m_connections(connections)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        m_connections.active.fetch_add(1);
        currentConnection->setBusy(true);
        if (m_connections.isFinishing) {
            response.setKeepAlive(false);
        }
        try {
            http_exchange::private_data data{request, response, Poco::URI(), {}, !currentConnection->hasStoppedReading()};
            http_exchange exchange(data);
            handle(data, exchange);
        } catch (const std::exception &error) {
            httpLog.warning("An answer could not be sent. error={}", error.what());
        }
        currentConnection->setBusy(false);
        m_connections.active.fetch_sub(1);
    }

private:
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
};

class exchange_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    exchange_handler_factory(const http_server::handler &handle, open_connections &connections)
        : m_handle(handle)
        , m_connections(connections)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        return new exchange_handler(m_handle, m_connections);
    }

private:
    const http_server::handler &m_handle;
    open_connections &m_connections;
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
    Poco::ThreadPool threads;
    /// Closed once nothing more is accepted: connections that wait for it then end at once, instead of waiting for the end of the process.
    Poco::Net::ServerSocket listener;
    std::unique_ptr<Poco::Net::TCPServer> server;

    private_data(const http_server_limits &limits, handler handler)
        : handle(std::move(handler))
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
    const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers = new exchange_handler_factory(d->handle, d->connections);
    d->server = std::make_unique<Poco::Net::TCPServer>(
        new tracked_connection_factory(parameters, handlers, d->connections), d->threads, d->listener, parameters);
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

void http_server::finish()
{
    d->server->stop();
    d->listener.close();
    std::unique_lock lock(d->connections.mutex);
    d->connections.isFinishing = true;
    for (auto *connection : d->connections.all) {
        if (!connection->isBusy()) {
            connection->stopReading();
        }
    }
    d->connections.changed.wait(lock, [this] { return d->connections.all.empty(); });
}

int http_server::activeRequests() const
{
    return d->connections.active.load();
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
            connection->cut();
        }
    }
    d->threads.joinAll();
}

} // namespace vetchpost
