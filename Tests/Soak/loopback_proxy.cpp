// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/loopback_proxy.h"

#include "Libraries/Base/instant.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace vetchpost::test {

namespace {

using Poco::Net::Socket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

/// How soon a connection takes notice of a fault.
constexpr duration pollPeriod(20);
constexpr duration connectTimeout(1000);
/// More than the daemons' limits on one step of an order (400 ms) leave room for twice.
constexpr duration delayTime(250);
constexpr duration dripPeriod(10);
constexpr int dripBytes = 16;
constexpr std::size_t bufferBytes = 16384;

SocketAddress addressOf(const endpoint &place)
{
    return {place.host, place.port};
}

void resetConnection(StreamSocket &socket)
{
    socket.setLinger(true, 0);
    socket.close();
}

} // namespace

struct loopback_proxy::private_data
{
    Poco::Net::ServerSocket listener;
    std::mutex mutex;
    endpoint server;
    std::atomic<link_fault> fault = link_fault::none;
    /// Counts the silences: a connection from before the newest one is silent.
    std::atomic<int> silences = 0;
    std::atomic<bool> isStopping = false;
    std::atomic<int> open = 0;
    std::thread acceptor;

    explicit private_data(const endpoint &listen, const endpoint &to)
        : listener(addressOf(listen))
        , server(to)
    {
    }

    endpoint currentServer()
    {
        const std::lock_guard lock(mutex);
        return server;
    }

    void accept()
    {
        while (!isStopping) {
            if (!listener.poll(timespanOf(pollPeriod), Socket::SELECT_READ)) {
                continue;
            }
            ++open;
            // The destructor waits until none is open.
            std::thread([this, client = listener.acceptConnection()]() mutable {
                relay(client);
                --open;
            }).detach();
        }
    }

    void relay(StreamSocket client)
    {
        StreamSocket upstream;
        try {
            upstream.connect(addressOf(currentServer()), timespanOf(connectTimeout));
            client.setNoDelay(true);
            upstream.setNoDelay(true);
            passOn(client, upstream);
        } catch (const Poco::Exception &) {
            // Whichever side broke: the other one sees a reset, as on a connection without a proxy.
            resetConnection(client);
            resetConnection(upstream);
        }
    }

    void passOn(StreamSocket &client, StreamSocket &upstream)
    {
        const int silencesAtBegin = silences;
        bool isClientOpen = true;
        bool isServerOpen = true;
        while (isClientOpen && isServerOpen && !isStopping) {
            const auto now = fault.load();
            if (now == link_fault::reset) {
                throw Poco::Net::ConnectionResetException();
            }
            if (silencesAtBegin != silences) {
                std::this_thread::sleep_for(pollPeriod);
                continue;
            }
            Socket::SocketList readable = {client};
            if (now != link_fault::cut_answers) {
                readable.push_back(upstream);
            }
            Socket::SocketList none;
            Socket::SocketList failed;
            Socket::select(readable, none, failed, timespanOf(pollPeriod));
            for (const auto &socket : readable) {
                const bool isFromClient = socket == client;
                auto &isOpen = isFromClient ? isClientOpen : isServerOpen;
                isOpen = passPiece(isFromClient ? client : upstream, isFromClient ? upstream : client, now);
            }
        }
        client.close();
        upstream.close();
    }

    /// False at the end of the stream.
    bool passPiece(StreamSocket &from, StreamSocket &to, link_fault now)
    {
        std::array<char, bufferBytes> buffer{};
        const int most = now == link_fault::drip ? dripBytes : static_cast<int>(buffer.size());
        const int count = from.receiveBytes(buffer.data(), most);
        if (count > 0 && now == link_fault::delay) {
            std::this_thread::sleep_for(delayTime);
        } else if (count > 0 && now == link_fault::drip) {
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
    while (d->open > 0) {
        std::this_thread::sleep_for(pollPeriod);
    }
}

void loopback_proxy::setFault(link_fault fault)
{
    if (fault == link_fault::silence) {
        ++d->silences;
    }
    d->fault = fault;
}

void loopback_proxy::setServer(const endpoint &server)
{
    const std::lock_guard lock(d->mutex);
    d->server = server;
}

} // namespace vetchpost::test
