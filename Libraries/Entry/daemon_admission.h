// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/work_admission.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace vetchpost {

/// Admits the work of a daemon: requests of its own clients and tunnels for other daemons. Thread-safe.
class daemon_admission
{
public:
    /// \a limit is how much work may run at once while tunnels are carried.
    explicit daemon_admission(int limit);
    daemon_admission(const daemon_admission &) = delete;
    daemon_admission &operator=(const daemon_admission &) = delete;

    /// Room for one piece of work, which ends with this object.
    class room
    {
    public:
        room(daemon_admission &admission, bool isTunnel);
        ~room();
        room(room &&other) noexcept;
        room &operator=(room &&other) = delete;
        room(const room &) = delete;
        room &operator=(const room &) = delete;

    private:
        daemon_admission *m_admission;
        bool m_isTunnel;
    };

    /// Waits for room for a request or a tunnel of an organisation, at most for \a patience. \a priority is 0 for the highest.
    std::optional<room> acquire(const organisation_id &organisation, int priority, duration patience, bool isTunnel);
    int limit() const;
    /// The number of tunnels that are being carried.
    int tunnels() const;

private:
    void release(bool isTunnel);

    mutable std::mutex m_mutex;
    std::condition_variable m_granted;
    work_admission m_state;
    std::uint64_t m_lastTicket = 0;
};

} // namespace vetchpost
