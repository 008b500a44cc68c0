// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/socket_splice.h"

#include "Libraries/Base/log.h"

#include <Poco/Net/NetException.h>

#include <poll.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace vetchpost {

namespace {

constexpr part_log httpLog("http");
/// Bytes of one read. The events of a stream and most prompts are smaller.
constexpr std::size_t bufferBytes = 16384;

/// Which of the two sockets can be read.
struct readiness
{
    bool isClientReady = false;
    bool isServerReady = false;

    bool isAny() const
    {
        return isClientReady || isServerReady;
    }
};

/// Waits until a socket can be read. A negative descriptor is ignored.
readiness waitForEither(int client, int server, instant deadline)
{
    for (;;) {
        std::array<pollfd, 2> sockets{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
        const auto left = std::clamp<std::int64_t>((deadline - monotonicNow()).count(), 0, maxSteadyWait.count());
        const auto ready = poll(sockets.data(), sockets.size(), static_cast<int>(left));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready != 0 || monotonicNow() >= deadline) {
            return {sockets[0].revents != 0, sockets[1].revents != 0};
        }
    }
}

/// Passes on what has arrived at \a from. Returns false at the end of its bytes. Throws if a connection is reset.
bool forward(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to)
{
    std::array<char, bufferBytes> buffer;
    const auto count = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    for (int sent = 0; sent < count;) {
        sent += to.sendBytes(buffer.data() + sent, count - sent);
    }
    return count > 0;
}

} // namespace

bool splice(Poco::Net::StreamSocket &client, Poco::Net::StreamSocket server, instant deadline)
{
    constexpr int none = -1;
    bool isServerOpen = true;
    try {
        for (;;) {
            const auto ready = waitForEither(client.impl()->sockfd(), isServerOpen ? server.impl()->sockfd() : none, deadline);
            if (!ready.isAny()) {
                return false;
            }
            if (ready.isServerReady && !forward(server, client)) {
                isServerOpen = false;
                client.shutdownSend();
            }
            // Once the server has closed its connection, the client's bytes have nowhere to go.
            if (ready.isClientReady && (!isServerOpen || !forward(client, server))) {
                return true;
            }
        }
    } catch (const Poco::Exception &error) {
        httpLog.debug("A tunnel was broken off. error={}", error.displayText());
        return false;
    }
}

} // namespace vetchpost
