// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vetchpost::test {

enum class fault_kind {
    // Of a daemon's process; it comes back.
    stop_daemon,
    /// Comes back under another address.
    move_daemon,
    kill_daemon,
    freeze_daemon,
    reload_daemon,
    // Of the connections between clients and a daemon.
    delay_callers,
    reset_callers,
    cut_callers,
    silence_callers,
    drip_callers,
    // Of the connections between a daemon and the store.
    delay_store_link,
    reset_store_link,
    cut_store_link,
    silence_store_link,
    drip_store_link,
    // Of the store, for all.
    silent_store,
    refusing_store,
    slow_store,
    losing_store,
    forgetting_store,
    // Of a replica.
    kill_replica,
    dark_replica,
    drain_replica,
    slow_replicas,
    losing_replicas,
    garbling_replicas,
    // Of the operator; no faults, but they come among them.
    change_configuration,
    withdraw_key
};
constexpr std::size_t faultKindCount = static_cast<std::size_t>(fault_kind::withdraw_key) + 1;

std::string_view faultName(fault_kind kind);

struct planned_fault
{
    /// From the begin of the traffic.
    duration at{0};
    duration lasts{0};
    fault_kind kind = fault_kind::stop_daemon;
    /// The number of the daemon or replica that it strikes, from 0.
    int target = 0;
};

struct schedule_size
{
    duration length{0};
    int daemons = 1;
    /// With an engine.
    int replicas = 1;
    int plainReplicas = 3;
};

/// The whole schedule of a seed, in the order of its times. Faults come in series that overlap, and end a while before the end.
std::vector<planned_fault> planFaults(std::uint64_t seed, const schedule_size &size);

/// The last part of a run, in which nothing is disturbed and all has to recover.
constexpr duration calmEnd(14000);

std::string describe(const planned_fault &fault);

/// What a replica says of itself for a while.
enum class notice_kind {
    limit,
    /// It rejects what comes, and asks for rest.
    rest,
    /// It says in its answers that it leaves, a while before its entry does.
    leaving
};

struct planned_notice
{
    duration at{0};
    duration lasts{0};
    notice_kind kind = notice_kind::limit;
    int target = 0;
    /// As its answers write it.
    std::string value;
};

/// So many notices, spread over the time of the faults; they overlap. Independent of the faults of the seed.
std::vector<planned_notice> planNotices(std::uint64_t seed, const schedule_size &size, int count);
std::string describe(const planned_notice &notice);

} // namespace vetchpost::test
