// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Tests/Fakes/request_head.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vetchpost::test {

/// What an endless_server sends in answer to each request.
struct endless_answer
{
    /// Sent once.
    std::string begin;
    /// Sent again and again until the peer closes the connection.
    std::string repeated;
    duration pause{};
};

/// A server whose answers do not end. It sends to each connection until the peer closes it, for 15 seconds at most.
class endless_server
{
public:
    explicit endless_server(endless_answer answer)
        : m_answer(std::move(answer))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { run(); })
    {
    }

    ~endless_server()
    {
        m_isStopping = true;
        m_thread.join();
        for (auto &connection : m_connections) {
            connection.join();
        }
    }

    endless_server(const endless_server &) = delete;
    endless_server &operator=(const endless_server &) = delete;

    std::string address() const
    {
        return m_socket.address().toString();
    }

    std::uint16_t port() const
    {
        return m_socket.address().port();
    }

    /// The number of connections, and of those whose peer has closed them.
    int connections() const
    {
        return m_count;
    }

    int closedConnections() const
    {
        return m_closed;
    }

    std::size_t sentBytes() const
    {
        return m_sent;
    }

private:
    void run()
    {
        constexpr int pollMicroseconds = 20000;
        while (!m_isStopping) {
            if (m_socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
                ++m_count;
                m_connections.emplace_back([this, connection = m_socket.acceptConnection()] { serve(connection); });
            }
        }
    }

    void serve(Poco::Net::StreamSocket connection)
    {
        constexpr duration longest(15000);
        const auto end = monotonicNow() + longest;
        try {
            connection.setSendTimeout(Poco::Timespan(1, 0));
            if (!receiveRequestHead(connection)) {
                return;
            }
            send(connection, m_answer.begin);
            while (!m_isStopping && monotonicNow() < end) {
                send(connection, m_answer.repeated);
                std::this_thread::sleep_for(m_answer.pause);
            }
        } catch (const Poco::TimeoutException &) {
            // The peer neither reads nor closes.
        } catch (const Poco::Exception &) {
            ++m_closed;
        }
    }

    void send(Poco::Net::StreamSocket &connection, const std::string &text)
    {
        connection.sendBytes(text.data(), static_cast<int>(text.size()));
        m_sent += text.size();
    }

    const endless_answer m_answer;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_count = 0;
    std::atomic<int> m_closed = 0;
    std::atomic<std::size_t> m_sent = 0;
    Poco::Net::ServerSocket m_socket;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

inline std::string repeat(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

} // namespace vetchpost::test
