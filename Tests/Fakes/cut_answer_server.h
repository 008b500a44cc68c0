// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Tests/Fakes/request_head.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>
#include <thread>

namespace vetchpost::test {

/// How a cut_answer_server ends its connections.
enum class cut_end { close, reset };

/// A server that reads the head of each request, sends the beginning of an answer and ends the connection. It reads little of a large
/// body, so that the connection ends while that is sent. Probes of replicas are answered whole.
class cut_answer_server
{
public:
    /// \a pause: the time between the answer and the end of the connection.
    cut_answer_server(std::string answer, cut_end end, duration pause = {})
        : m_answer(std::move(answer))
        , m_end(end)
        , m_pause(pause)
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { run(); })
    {
    }

    ~cut_answer_server()
    {
        m_isStopping = true;
        m_thread.join();
    }

    cut_answer_server(const cut_answer_server &) = delete;
    cut_answer_server &operator=(const cut_answer_server &) = delete;

    endpoint address() const
    {
        return {"127.0.0.1", m_socket.address().port()};
    }

private:
    void run()
    {
        constexpr int pollMicroseconds = 1000;
        constexpr int receiveBufferSize = 16384;
        m_socket.setReceiveBufferSize(receiveBufferSize);
        while (!m_isStopping) {
            if (m_socket.poll(Poco::Timespan(pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
                serve(m_socket.acceptConnection());
            }
        }
    }

    void serve(Poco::Net::StreamSocket connection) const
    {
        try {
            connection.setReceiveTimeout(Poco::Timespan(2, 0));
            const auto request = receiveRequestHead(connection);
            if (!request) {
                return;
            }
            if (request->starts_with("GET /report ")) {
                const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
                connection.sendBytes(report.data(), static_cast<int>(report.size()));
                return;
            }
            if (!m_answer.empty()) {
                connection.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()));
            }
            std::this_thread::sleep_for(m_pause);
            if (m_end == cut_end::reset) {
                connection.setLinger(true, 0);
            }
            connection.close();
        } catch (const Poco::Exception &) {
            // The client has gone.
        }
    }

    const std::string m_answer;
    const cut_end m_end;
    const duration m_pause;
    std::atomic<bool> m_isStopping = false;
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

} // namespace vetchpost::test
