// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace vetchpost::test {

/// A character in a script's answer that makes the replica send nothing for 100 ms.
constexpr char pauseMarker = '\x01';
/// A character in a script's answer that makes the replica send nothing for 20 ms.
constexpr char shortPauseMarker = '\x03';
/// A character in a script's answer that makes the replica reset the connection.
constexpr char resetMarker = '\x04';
/// A character in a script's answer that makes the replica stop, and restart at its address after 200 ms.
constexpr char restartMarker = '\x02';
/// As restartMarker, but the port stays open for 20 ms after the connection has been closed, in which only probes are answered.
constexpr char slowRestartMarker = '\x06';

/// A replica on a loopback port that answers each request with the bytes that a script returns, then closes the connection.
class scripted_replica
{
public:
    using script = std::function<std::string(const std::string &request)>;

    /// \a isConcurrent: it answers its connections at the same time instead of one after the other. Such a replica must not restart.
    explicit scripted_replica(script answer, bool isConcurrent = false);
    ~scripted_replica();
    scripted_replica(const scripted_replica &) = delete;
    scripted_replica &operator=(const scripted_replica &) = delete;

    std::string address() const;
    /// The received requests of clients, each with head and body. Liveness probes are not included; they are answered without the script.
    std::vector<std::string> requests() const;
    /// How many liveness probes have been answered.
    std::size_t probes() const;
    /// When the daemon last closed a connection before the end of an answer; empty if it never did. Only detected during pauses.
    std::optional<std::chrono::steady_clock::time_point> connectionClosedAt() const;

private:
    void run();
    void serve(Poco::Net::StreamSocket connection);
    bool pauseUnlessClosed(Poco::Net::StreamSocket &connection, std::chrono::milliseconds time);
    void restart(Poco::Net::StreamSocket &connection);
    void answerProbes();

    script m_answer;
    const bool m_isConcurrent;
    Poco::Net::ServerSocket m_socket;
    const Poco::Net::SocketAddress m_address;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::optional<std::chrono::steady_clock::time_point> m_connectionClosedAt;
    std::atomic<std::size_t> m_probes = 0;
    std::atomic<bool> m_isStopping = false;
    bool m_isExiting = false;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// The value of a header in the text of a request; empty if there is no such header.
std::string headerOf(const std::string &request, const std::string &name);

} // namespace vetchpost::test
