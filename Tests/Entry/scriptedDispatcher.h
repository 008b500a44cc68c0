// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/dispatch_socket.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace vetchpost::test {

inline endpoint freeDatagramPort()
{
    const Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

/// A dispatcher on a loopback port that answers each slot request with what a script returns.
class scripted_dispatcher
{
public:
    using script = std::function<std::vector<slot_answer>(const slot_request &)>;

    explicit scripted_dispatcher(script answer)
        : m_answer(std::move(answer))
        , m_socket(m_counters)
    {
        m_socket.bind(m_address);
        m_thread = std::thread([this] { run(); });
    }

    ~scripted_dispatcher()
    {
        m_isStopping = true;
        m_thread.join();
    }

    scripted_dispatcher(const scripted_dispatcher &) = delete;
    scripted_dispatcher &operator=(const scripted_dispatcher &) = delete;

    endpoint address() const
    {
        return m_address;
    }

    std::vector<slot_request> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    /// The releases of the last datagram that had any.
    std::vector<slot_release> releases() const
    {
        const std::lock_guard lock(m_mutex);
        return m_releases;
    }

    /// Waits until the release of this ticket has arrived, and returns how the request ended.
    std::optional<slot_end> awaitRelease(std::uint64_t ticket) const
    {
        constexpr int tries = 100;
        for (int i = 0; i < tries; ++i) {
            for (const auto &release : releases()) {
                if (release.ticket == ticket) {
                    return release.end;
                }
            }
            std::this_thread::sleep_for(duration(10));
        }
        return std::nullopt;
    }

private:
    void run()
    {
        while (!m_isStopping) {
            const auto datagram = m_socket.receive(duration(20));
            if (!datagram) {
                continue;
            }
            if (const auto *request = std::get_if<slot_request_message>(&datagram->second)) {
                record(request->releases);
                {
                    const std::lock_guard lock(m_mutex);
                    m_requests.push_back(request->request);
                }
                for (const auto &answer : m_answer(request->request)) {
                    m_socket.send(datagram->first, answer);
                }
            } else if (const auto *release = std::get_if<slot_release_message>(&datagram->second)) {
                record(release->releases);
            }
        }
    }

    void record(const std::vector<slot_release> &releases)
    {
        const std::lock_guard lock(m_mutex);
        m_releases = releases.empty() ? m_releases : releases;
    }

    const endpoint m_address = freeDatagramPort();
    script m_answer;
    metrics m_counters;
    dispatch_socket m_socket;
    mutable std::mutex m_mutex;
    std::vector<slot_request> m_requests;
    std::vector<slot_release> m_releases;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

inline slot_answer grantOf(const slot_request &request, const std::string &head)
{
    return {request.ticket, {}, slot_verdict::granted, instance_id(head), {}};
}

inline slot_answer answerOf(const slot_request &request, slot_verdict verdict, duration wait = {})
{
    return {request.ticket, {}, verdict, {}, wait};
}

} // namespace vetchpost::test
