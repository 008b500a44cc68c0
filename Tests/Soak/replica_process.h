// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Tests/Soak/child_process.h"
#include "Tests/Soak/soak_schedule.h"

#include <atomic>
#include <thread>

namespace vetchpost::test {

/// A group that lost a member stalls for 1.5 s before its head gives up, and its members form a new group within another second.
constexpr duration groupRepairTime(2500);

/// Polls the process that plays all replicas and detects when it stalls, because a planned pause stops it or the machine does not schedule
/// it: all replicas are then silent together. Only a silence that clients do not bear excuses lost answers. Each one is printed with its
/// length.
class stall_detector
{
public:
    explicit stall_detector(const endpoint &control);
    ~stall_detector();
    stall_detector(const stall_detector &) = delete;
    stall_detector &operator=(const stall_detector &) = delete;

    /// Stops polling and returns the stalls found, as disturbances.
    std::vector<disturbance> stop();

private:
    void poll(const endpoint &control);

    std::atomic<bool> m_isStopping = false;
    std::vector<disturbance> m_stalls;
    std::thread m_thread;
};

/// Stops the process that plays all replicas and continues it, as planned.
class replica_pauser
{
public:
    replica_pauser(child_process &replicas, const std::vector<planned_pause> &plan, instant begin);
    ~replica_pauser();
    replica_pauser(const replica_pauser &) = delete;
    replica_pauser &operator=(const replica_pauser &) = delete;

private:
    bool waitUntil(instant time) const;

    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace vetchpost::test
