// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/datagram_links.h"

#include "Libraries/Base/instant.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

namespace vetchpost::test {

namespace {

using Poco::Net::DatagramSocket;
using Poco::Net::SocketAddress;

constexpr duration pollPeriod(20);
constexpr std::size_t largestDatagram = 65536;

SocketAddress socketAddress(const endpoint &place)
{
    return {place.host, place.port};
}

} // namespace

struct datagram_links::private_data
{
    std::function<endpoint(int)> addressOf;
    /// One for each daemon: what others send to it arrives there, and what it sends leaves from there.
    std::vector<DatagramSocket> sockets;
    std::mutex mutex;
    std::set<int> side;
    std::atomic<bool> isStopping = false;
    std::thread thread;

    bool isCut(int from, int to)
    {
        const std::lock_guard lock(mutex);
        return side.contains(from) != side.contains(to);
    }

    /// Returns the daemon that sends from \a address, if any.
    std::optional<int> daemonAt(const SocketAddress &address) const
    {
        for (int number = 0; number < static_cast<int>(sockets.size()); ++number) {
            if (socketAddress(addressOf(number)) == address) {
                return number;
            }
        }
        return std::nullopt;
    }

    void run()
    {
        std::array<char, largestDatagram> buffer{};
        while (!isStopping) {
            Poco::Net::Socket::SocketList readable(sockets.begin(), sockets.end());
            Poco::Net::Socket::SocketList none;
            Poco::Net::Socket::SocketList failed;
            Poco::Net::Socket::select(readable, none, failed, timespanOf(pollPeriod));
            for (const auto &socket : readable) {
                const auto to = std::distance(sockets.begin(), std::find(sockets.begin(), sockets.end(), socket));
                passOn(static_cast<int>(to), buffer);
            }
        }
    }

    void passOn(int to, std::array<char, largestDatagram> &buffer)
    {
        try {
            SocketAddress sender;
            const auto size = sockets[static_cast<std::size_t>(to)].receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            const auto from = daemonAt(sender);
            if (from && !isCut(*from, to)) {
                sockets[static_cast<std::size_t>(*from)].sendTo(buffer.data(), size, socketAddress(addressOf(to)));
            }
        } catch (const Poco::Exception &) {
            // The receiver does not run; the datagram is lost as on a network.
        }
    }
};

datagram_links::datagram_links(const std::vector<endpoint> &announced, std::function<endpoint(int)> addressOf)
    : d(std::make_unique<private_data>())
{
    d->addressOf = std::move(addressOf);
    for (const auto &address : announced) {
        d->sockets.emplace_back(socketAddress(address));
    }
    d->thread = std::thread([this] { d->run(); });
}

datagram_links::~datagram_links()
{
    d->isStopping = true;
    d->thread.join();
}

void datagram_links::cut(const std::set<int> &side)
{
    const std::lock_guard lock(d->mutex);
    d->side = side;
}

} // namespace vetchpost::test
