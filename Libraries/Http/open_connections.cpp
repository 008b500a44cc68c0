// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/open_connections.h"

#include "Libraries/Base/log.h"
#include "Libraries/Http/accepted_connection.h"

#include <algorithm>
#include <vector>

namespace vetchpost {

namespace {

constexpr part_log httpLog("http");

thread_local tracked_connection *currentConnection = nullptr;

} // namespace

int sparePlaces(int threads)
{
    constexpr int share = 16;
    return std::max(1, threads / share);
}

void open_connections::add(tracked_connection *connection)
{
    const std::lock_guard lock(m_mutex);
    m_all.insert(connection);
    if (isFinishing) {
        connection->stopReading();
    }
}

void open_connections::remove(tracked_connection *connection)
{
    const std::lock_guard lock(m_mutex);
    m_all.erase(connection);
    m_changed.notify_all();
}

int open_connections::count() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_all.size());
}

void open_connections::makeRoom(int most)
{
    const std::lock_guard lock(m_mutex);
    if (static_cast<int>(m_all.size()) <= most) {
        return;
    }
    const auto now = monotonicNow();
    std::vector<accepted_connection *> candidates;
    std::vector<connection_state> states;
    for (auto *tracked : m_all) {
        auto &connection = connectionOf(tracked->socket());
        if (!connection.isInterrupted()) {
            candidates.push_back(&connection);
            states.push_back(connection.state(now));
        }
    }
    auto open = static_cast<int>(candidates.size());
    while (open > most) {
        const auto index = connectionToClose(states);
        if (!index) {
            return;
        }
        // A connection that cannot be interrupted has just gone on.
        const bool isInterrupted = candidates[*index]->interrupt();
        open -= isInterrupted ? 1 : 0;
        interrupted += isInterrupted ? 1 : 0;
        states[*index].phase = connection_phase::handling;
    }
}

void open_connections::finishIdle()
{
    const std::lock_guard lock(m_mutex);
    isFinishing = true;
    for (auto *connection : m_all) {
        if (!connection->isBusy()) {
            connection->stopReading();
        }
    }
}

void open_connections::shutDownAll()
{
    const std::lock_guard lock(m_mutex);
    isFinishing = true;
    for (auto *connection : m_all) {
        connection->shutDown();
    }
}

bool open_connections::waitUntilEmpty(duration time)
{
    std::unique_lock lock(m_mutex);
    if (!m_all.empty()) {
        m_changed.wait_for(lock, time);
    }
    return m_all.empty();
}

tracked_connection::tracked_connection(const Poco::Net::StreamSocket &socket,
                                       Poco::Net::HTTPServerParams::Ptr parameters,
                                       Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                                       open_connections &connections)
    : HTTPServerConnection(socket, std::move(parameters), std::move(factory))
    , m_connections(connections)
{
    m_connections.add(this);
}

tracked_connection::~tracked_connection()
{
    m_connections.remove(this);
}

tracked_connection &tracked_connection::current()
{
    return *currentConnection;
}

void tracked_connection::run()
{
    currentConnection = this;
    // The time that the connection has waited for a thread is not the client's.
    connectionOf(socket()).enter(connection_phase::idle);
    HTTPServerConnection::run();
}

void tracked_connection::setBusy(bool isBusy)
{
    const std::lock_guard lock(m_connections.m_mutex);
    m_isBusy = isBusy;
    if (!isBusy && m_connections.isFinishing) {
        stopReading();
    }
}

bool tracked_connection::isBusy() const
{
    return m_isBusy;
}

int tracked_connection::countRequest()
{
    return ++m_requests;
}

bool tracked_connection::hasStoppedReading() const
{
    return m_hasStoppedReading;
}

void tracked_connection::stopReading()
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

void tracked_connection::shutDown()
{
    try {
        socket().shutdown();
    } catch (const Poco::Exception &error) {
        httpLog.debug("A connection was already closed. error={}", error.displayText());
    }
}

} // namespace vetchpost
