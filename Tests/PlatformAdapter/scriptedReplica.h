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

/// In an answer: a tenth of a second in which the replica sends nothing.
constexpr char pauseHere = '\x01';
/// In an answer: the replica ends here, and starts again at its address after a fifth of a second.
constexpr char endHere = '\x02';

/// A replica on a loopback port that answers each request with the bytes of a script, then closes the connection.
class scripted_replica
{
public:
    using script = std::function<std::string(const std::string &request)>;

    explicit scripted_replica(script answer);
    ~scripted_replica();
    scripted_replica(const scripted_replica &) = delete;
    scripted_replica &operator=(const scripted_replica &) = delete;

    std::string address() const;
    /// The clients' requests that came, with their heads and bodies. Questions whether it lives are answered beside the script.
    std::vector<std::string> requests() const;
    /// When the daemon closed a connection before the answer's end, for the last time; noticed in pauses.
    std::optional<std::chrono::steady_clock::time_point> givenUpAt() const;

private:
    void run();
    void serve(Poco::Net::StreamSocket &connection);
    bool pauseWhileWanted(Poco::Net::StreamSocket &connection);
    void endAndStartAgain(Poco::Net::StreamSocket &connection);

    script m_answer;
    Poco::Net::ServerSocket m_socket;
    const Poco::Net::SocketAddress m_address;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::optional<std::chrono::steady_clock::time_point> m_givenUpAt;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

/// The value of a header in a request's text; empty where there is none.
std::string headerOf(const std::string &request, const std::string &name);

} // namespace vetchpost::test
