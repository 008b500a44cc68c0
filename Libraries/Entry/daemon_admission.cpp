// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_admission.h"

#include <utility>

namespace vetchpost {

daemon_admission::daemon_admission(int limit)
{
    m_state.limit = limit;
}

daemon_admission::room::room(daemon_admission &admission, bool isTunnel)
    : m_admission(&admission)
    , m_isTunnel(isTunnel)
{
}

daemon_admission::room::~room()
{
    if (m_admission != nullptr) {
        m_admission->release(m_isTunnel);
    }
}

daemon_admission::room::room(room &&other) noexcept
    : m_admission(std::exchange(other.m_admission, nullptr))
    , m_isTunnel(other.m_isTunnel)
{
}

std::optional<daemon_admission::room>
daemon_admission::acquire(const organisation_id &organisation, int priority, duration patience, bool isTunnel)
{
    std::unique_lock lock(m_mutex);
    const auto now = monotonicNow();
    queued_request work;
    work.ticket = ++m_lastTicket;
    work.organisation = organisation;
    // The queue serves higher numbers first.
    work.priority = -priority;
    work.arrived = now;
    work.deadline = now + patience;
    const auto result = requestRoom(m_state, work, isTunnel, now);
    if (result == admission_result::refused) {
        return std::nullopt;
    }
    while (result == admission_result::queued && !takeGrant(m_state, work.ticket)) {
        const auto left = work.deadline - monotonicNow();
        if (left <= duration()) {
            withdraw(m_state, work.ticket, isTunnel, monotonicNow());
            return std::nullopt;
        }
        m_granted.wait_for(lock, std::min(left, maxSteadyWait));
    }
    return room(*this, isTunnel);
}

void daemon_admission::release(bool isTunnel)
{
    {
        const std::lock_guard lock(m_mutex);
        releaseRoom(m_state, isTunnel, monotonicNow());
    }
    m_granted.notify_all();
}

int daemon_admission::limit() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.limit;
}

int daemon_admission::tunnels() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.tunnels;
}

} // namespace vetchpost
