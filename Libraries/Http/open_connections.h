// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace vetchpost {

class tracked_connection;

/// Returns how many threads of a server are kept free for new connections.
int sparePlaces(int threads);

/// The connections of one server. Thread-safe.
class open_connections
{
public:
    void add(tracked_connection *connection);
    void remove(tracked_connection *connection);
    int count() const;
    /// Closes connections that wait for their clients until at most \a most are open, or all of them are in use.
    void makeRoom(int most);
    /// Closes the idle connections at once, and the others once they are idle.
    void finishIdle();
    void shutDownAll();
    /// Waits for at most \a time. Returns whether no connection is open.
    bool waitUntilEmpty(duration time);

    std::atomic<bool> isFinishing = false;
    /// The number of requests that are being handled.
    std::atomic<int> active = 0;
    /// The number of connections that were closed by makeRoom().
    std::atomic<std::uint64_t> interrupted = 0;

private:
    friend class tracked_connection;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<tracked_connection *> m_all;
};

/// A connection that is listed from its construction to its destruction.
class tracked_connection : public Poco::Net::HTTPServerConnection
{
public:
    tracked_connection(const Poco::Net::StreamSocket &socket,
                       Poco::Net::HTTPServerParams::Ptr parameters,
                       Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                       open_connections &connections);
    ~tracked_connection() override;
    tracked_connection(const tracked_connection &) = delete;
    tracked_connection &operator=(const tracked_connection &) = delete;

    /// The connection that is served by the current thread.
    static tracked_connection &current();

    void run() override;
    void setBusy(bool isBusy);
    bool isBusy() const;
    /// Counts a request that has been read. Returns how many have been read on this connection.
    int countRequest();
    /// Whether the server shut down the receiving side of the socket, which a poll cannot distinguish from a disconnect of the client.
    bool hasStoppedReading() const;
    /// Shuts down the receiving side, unless bytes have already arrived. A request that has arrived is still read and answered.
    void stopReading();
    /// Closes the connection immediately, also in the middle of a request.
    void shutDown();

private:
    friend class open_connections;
    open_connections &m_connections;
    bool m_isBusy = false;
    bool m_hasStoppedReading = false;
    int m_requests = 0;
};

} // namespace vetchpost
