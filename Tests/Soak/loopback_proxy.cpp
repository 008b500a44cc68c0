// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/loopback_proxy.h"

#include "Libraries/Base/instant.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

namespace vetchpost::test {

namespace {

using Poco::Net::Socket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

/// How often an idle connection checks for a fault.
constexpr duration pollPeriod(20);
constexpr duration connectTimeout(1000);
/// Two delays together exceed the daemons' limit of 400 ms on one step of an order.
constexpr duration delayTime(250);
constexpr duration dripPeriod(10);
constexpr int dripBytes = 16;
constexpr std::size_t bufferBytes = 16384;
constexpr int usualBacklog = 64;
/// The shortest queue of connections that are not accepted yet. It holds one connection; the kernel drops the opening packets of others.
constexpr int shortestBacklog = 0;

SocketAddress socketAddress(const endpoint &place)
{
    return {place.host, place.port};
}

/// Closes the connection with a TCP reset.
void resetConnection(StreamSocket &socket)
{
    socket.setLinger(true, 0);
    socket.close();
}

bool hangsNewConnections(link_fault fault)
{
    return fault == link_fault::partition || fault == link_fault::hang_new;
}

bool refusesNewConnections(link_fault fault)
{
    return fault == link_fault::partition_reset || fault == link_fault::refuse_new;
}

bool resetsOpenConnections(link_fault fault)
{
    return fault == link_fault::reset || fault == link_fault::partition_reset;
}

} // namespace

struct loopback_proxy::private_data
{
    const endpoint address;
    /// Protects the listener. It is absent while connections are refused.
    std::mutex listenerMutex;
    std::optional<Poco::Net::ServerSocket> listener;
    /// Fills the queue of the listener while new connections hang.
    std::optional<StreamSocket> filler;
    std::mutex mutex;
    endpoint server;
    std::atomic<link_fault> fault = link_fault::none;
    /// The number of silence faults so far. A connection older than the newest one forwards nothing.
    std::atomic<int> silences = 0;
    std::atomic<bool> isStopping = false;
    std::atomic<int> openConnections = 0;
    std::thread acceptor;

    explicit private_data(const endpoint &listen, const endpoint &to)
        : address(listen)
        , server(to)
    {
        listener.emplace(socketAddress(address), usualBacklog);
    }

    /// Makes the listener accept, hang or refuse new connections.
    void updateListener(link_fault next)
    {
        const std::lock_guard lock(listenerMutex);
        if (refusesNewConnections(next)) {
            listener.reset();
            filler.reset();
            return;
        }
        if (!listener) {
            listener.emplace(socketAddress(address), usualBacklog);
        }
        if (hangsNewConnections(next) && !filler) {
            listener->listen(shortestBacklog);
            filler.emplace(socketAddress(address));
        } else if (!hangsNewConnections(next) && filler) {
            filler.reset();
            listener->listen(usualBacklog);
        }
    }

    /// Returns the next new connection, if one arrives within pollPeriod.
    std::optional<StreamSocket> acceptNext()
    {
        const std::lock_guard lock(listenerMutex);
        const bool canAccept = listener && !filler && listener->poll(timespanOf(pollPeriod), Socket::SELECT_READ);
        return canAccept ? std::optional(listener->acceptConnection()) : std::nullopt;
    }

    endpoint currentServer()
    {
        const std::lock_guard lock(mutex);
        return server;
    }

    void accept()
    {
        while (!isStopping) {
            auto accepted = acceptNext();
            if (!accepted) {
                // Lets setFault() take the listener.
                std::this_thread::sleep_for(duration(1));
                continue;
            }
            ++openConnections;
            // The destructor waits until all connections are closed.
            std::thread([this, client = *accepted]() mutable {
                relay(client);
                --openConnections;
            }).detach();
        }
    }

    void relay(StreamSocket client)
    {
        StreamSocket upstream;
        try {
            upstream.connect(socketAddress(currentServer()), timespanOf(connectTimeout));
            client.setNoDelay(true);
            upstream.setNoDelay(true);
            forwardBytes(client, upstream);
        } catch (const Poco::Exception &) {
            // When either side breaks, the other one sees a reset, as on a connection without a proxy.
            resetConnection(client);
            resetConnection(upstream);
        }
    }

    /// Forwards bytes both ways until a side closes, the proxy stops or a fault resets the connection.
    void forwardBytes(StreamSocket &client, StreamSocket &upstream)
    {
        const int silencesAtStart = silences;
        bool isClientOpen = true;
        bool isServerOpen = true;
        while (isClientOpen && isServerOpen && !isStopping) {
            const auto currentFault = fault.load();
            if (resetsOpenConnections(currentFault)) {
                throw Poco::Net::ConnectionResetException();
            }
            if (silencesAtStart != silences || currentFault == link_fault::partition) {
                std::this_thread::sleep_for(pollPeriod);
                continue;
            }
            Socket::SocketList readable = {client};
            if (currentFault != link_fault::cut_answers) {
                readable.push_back(upstream);
            }
            Socket::SocketList none;
            Socket::SocketList failed;
            Socket::select(readable, none, failed, timespanOf(pollPeriod));
            for (const auto &socket : readable) {
                const bool isFromClient = socket == client;
                auto &isOpen = isFromClient ? isClientOpen : isServerOpen;
                isOpen = forwardChunk(isFromClient ? client : upstream, isFromClient ? upstream : client, currentFault);
            }
        }
        client.close();
        upstream.close();
    }

    /// Forwards the next bytes from one socket to the other, subject to \a currentFault. Returns false at the end of the stream.
    bool forwardChunk(StreamSocket &from, StreamSocket &to, link_fault currentFault)
    {
        std::array<char, bufferBytes> buffer{};
        const int maxBytes = currentFault == link_fault::drip ? dripBytes : static_cast<int>(buffer.size());
        const int count = from.receiveBytes(buffer.data(), maxBytes);
        if (count > 0 && currentFault == link_fault::delay) {
            std::this_thread::sleep_for(delayTime);
        } else if (count > 0 && currentFault == link_fault::drip) {
            std::this_thread::sleep_for(dripPeriod);
        }
        for (int sent = 0; sent < count;) {
            sent += to.sendBytes(buffer.data() + sent, count - sent);
        }
        return count > 0;
    }
};

loopback_proxy::loopback_proxy(const endpoint &listen, const endpoint &server)
    : d(std::make_unique<private_data>(listen, server))
{
    d->acceptor = std::thread([this] { d->accept(); });
}

loopback_proxy::~loopback_proxy()
{
    d->isStopping = true;
    d->acceptor.join();
    while (d->openConnections > 0) {
        std::this_thread::sleep_for(pollPeriod);
    }
}

void loopback_proxy::setFault(link_fault fault)
{
    if (fault == link_fault::silence) {
        ++d->silences;
    }
    d->fault = fault;
    d->updateListener(fault);
}

void loopback_proxy::setServer(const endpoint &server)
{
    const std::lock_guard lock(d->mutex);
    d->server = server;
}

} // namespace vetchpost::test
