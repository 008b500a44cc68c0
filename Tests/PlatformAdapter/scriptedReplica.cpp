// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/scriptedReplica.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace vetchpost::test {

namespace {

constexpr int readSize = 4096;
const Poco::Timespan pollTime(0, 20000);
constexpr std::chrono::milliseconds pauseTime(100);
constexpr std::chrono::milliseconds shortPauseTime(20);
constexpr std::chrono::milliseconds restartTime(200);
constexpr std::chrono::milliseconds slowExitTime(20);
constexpr int pollMicroseconds = 1000;

/// Whether the text contains the whole head and body of a request.
bool isWhole(const std::string &request)
{
    const auto end = request.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const auto length = headerOf(request, "Content-Length");
    return request.size() >= end + 4 + (length.empty() ? 0 : std::stoul(length));
}

} // namespace

std::string headerOf(const std::string &request, const std::string &name)
{
    const auto start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

scripted_replica::scripted_replica(script answer, bool isConcurrent)
    : m_answer(std::move(answer))
    , m_isConcurrent(isConcurrent)
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_address(m_socket.address())
    , m_thread([this] { run(); })
{
}

scripted_replica::~scripted_replica()
{
    m_isStopping = true;
    m_thread.join();
    std::for_each(m_connections.begin(), m_connections.end(), [](std::thread &thread) { thread.join(); });
}

std::string scripted_replica::address() const
{
    return m_address.toString();
}

std::vector<std::string> scripted_replica::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::size_t scripted_replica::probes() const
{
    return m_probes;
}

std::optional<std::chrono::steady_clock::time_point> scripted_replica::connectionClosedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_connectionClosedAt;
}

void scripted_replica::run()
{
    while (!m_isStopping) {
        if (m_socket.poll(pollTime, Poco::Net::Socket::SELECT_READ)) {
            auto connection = m_socket.acceptConnection();
            if (m_isConcurrent) {
                m_connections.emplace_back([this, connection] { serve(connection); });
            } else {
                serve(connection);
            }
        }
    }
}

void scripted_replica::serve(Poco::Net::StreamSocket connection)
{
    std::string request;
    std::array<char, readSize> bytes{};
    try {
        while (!isWhole(request)) {
            const auto count = connection.receiveBytes(bytes.data(), readSize);
            if (count <= 0) {
                return;
            }
            request.append(bytes.data(), static_cast<std::size_t>(count));
        }
        if (request.starts_with("GET /report ")) {
            ++m_probes;
            const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            connection.sendBytes(report.data(), static_cast<int>(report.size()));
            return;
        }
        if (m_isExiting) {
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        const auto answer = m_answer(request);
        for (std::size_t start = 0; start < answer.size();) {
            const auto end = std::min(
                answer.find_first_of(std::string{pauseMarker, shortPauseMarker, restartMarker, slowRestartMarker, resetMarker}, start),
                answer.size());
            if (end > start) {
                connection.sendBytes(answer.data() + start, static_cast<int>(end - start));
            }
            if (end < answer.size() && answer[end] == resetMarker) {
                // The bytes before the reset must have been read, since a reset discards them.
                std::this_thread::sleep_for(shortPauseTime);
                connection.setLinger(true, 0);
                connection.close();
                return;
            }
            if (end < answer.size() && (answer[end] == restartMarker || answer[end] == slowRestartMarker)) {
                if (answer[end] == slowRestartMarker) {
                    connection.close();
                    answerProbes();
                }
                restart(connection);
                return;
            }
            if (end < answer.size() && !pauseUnlessClosed(connection, answer[end] == pauseMarker ? pauseTime : shortPauseTime)) {
                return;
            }
            start = end + 1;
        }
        connection.shutdownSend();
    } catch (const Poco::Exception &) {
        // The daemon has closed the connection, as some tests intend.
        return;
    }
}

/// Pauses for \a time. Returns false at once if the daemon closes the connection.
bool scripted_replica::pauseUnlessClosed(Poco::Net::StreamSocket &connection, std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    if (!connection.poll(Poco::Timespan(std::chrono::microseconds(time).count()), Poco::Net::Socket::SELECT_READ)) {
        return true;
    }
    char next = 0;
    if (connection.receiveBytes(&next, 1) > 0) {
        std::this_thread::sleep_until(end);
        return true;
    }
    const std::lock_guard lock(m_mutex);
    m_connectionClosedAt = std::chrono::steady_clock::now();
    return false;
}

/// Answers probes, and closes all other connections, for slowExitTime.
void scripted_replica::answerProbes()
{
    const auto end = std::chrono::steady_clock::now() + slowExitTime;
    m_isExiting = true;
    while (std::chrono::steady_clock::now() < end) {
        if (m_socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            serve(m_socket.acceptConnection());
        }
    }
    m_isExiting = false;
}

/// Closes the connection and the port, and opens the port again after restartTime.
void scripted_replica::restart(Poco::Net::StreamSocket &connection)
{
    m_socket.close();
    connection.close();
    std::this_thread::sleep_for(restartTime);
    m_socket = Poco::Net::ServerSocket(m_address);
}

} // namespace vetchpost::test
