// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/replica_process.h"

#include "Tests/Soak/soak_platform.h"

#include <fmt/format.h>

#include <csignal>

namespace vetchpost::test {

namespace {

/// Daemons probe a replica that has sent nothing for 250 ms, and treat it as silent 200 ms later.
constexpr duration maxAnswerTime(200);
constexpr duration stallPollPeriod(50);
/// Clients give up an answer that brings no byte for 3 s.
constexpr duration maxBorneSilence(2000);
constexpr duration tick(20);

} // namespace

stall_detector::stall_detector(const endpoint &control)
    : m_thread([this, control] { poll(control); })
{
}

stall_detector::~stall_detector()
{
    stop();
}

void stall_detector::poll(const endpoint &control)
{
    while (!m_isStopping) {
        const auto asked = monotonicNow();
        fetchFacts(control);
        const auto time = monotonicNow() - asked;
        if (time > maxAnswerTime) {
            const auto kind = time > maxBorneSilence ? disturbance_kind::replicas : disturbance_kind::silence;
            m_stalls.push_back({kind, asked, asked + time + groupRepairTime, std::nullopt});
            fmt::print("the replicas' process stalled for {} ms at {}\n", time.count(), asked.time_since_epoch().count());
        }
        std::this_thread::sleep_for(stallPollPeriod);
    }
}

std::vector<disturbance> stall_detector::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return std::move(m_stalls);
}

replica_pauser::replica_pauser(child_process &replicas, const std::vector<planned_pause> &plan, instant begin)
    : m_thread([this, &replicas, plan, begin] {
        for (const auto &pause : plan) {
            if (!waitUntil(begin + pause.at)) {
                return;
            }
            replicas.signal(SIGSTOP);
            waitUntil(begin + pause.at + pause.lasts);
            replicas.signal(SIGCONT);
        }
    })
{
}

replica_pauser::~replica_pauser()
{
    m_isStopping = true;
    m_thread.join();
}

/// Returns false at once if the run ends before \a time.
bool replica_pauser::waitUntil(instant time) const
{
    while (!m_isStopping && monotonicNow() < time) {
        std::this_thread::sleep_for(tick);
    }
    return !m_isStopping;
}

} // namespace vetchpost::test
