// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vetchpost::test {

/// The kinds of planned faults. Their order and names are part of a seed's schedule.
enum class fault_kind {
    // Faults of a daemon's process, which is restarted or resumed.
    stop_daemon,
    /// Restarts under another address.
    move_daemon,
    kill_daemon,
    freeze_daemon,
    reload_daemon,
    // Faults of the connections between clients and a daemon.
    delay_callers,
    reset_callers,
    cut_callers,
    silence_callers,
    drip_callers,
    // Faults of the connections between a daemon and the store.
    delay_store_link,
    reset_store_link,
    cut_store_link,
    silence_store_link,
    drip_store_link,
    // Faults of the store, which affect all daemons.
    silent_store,
    refusing_store,
    slow_store,
    /// Some calls get no answer.
    losing_store,
    /// The store discards its history of changes.
    forgetting_store,
    // Faults of replicas.
    kill_replica,
    /// The replica is cut off from the network.
    dark_replica,
    drain_replica,
    slow_replicas,
    losing_replicas,
    garbling_replicas,
    // Actions of the operator. They are no faults but are scheduled among them.
    change_configuration,
    withdraw_key,
    // Planned by functions of their own.
    /// The daemons and the store do not reach the head of a group, while its members do.
    isolated_head
};
/// The number of kinds that planFaults() draws from.
constexpr std::size_t faultKindCount = static_cast<std::size_t>(fault_kind::withdraw_key) + 1;

/// Returns the name of a fault kind, as describe() prints it.
std::string_view faultName(fault_kind kind);

/// A fault with its time and its target.
struct planned_fault
{
    /// The time since the start of the traffic.
    duration at{0};
    duration lasts{0};
    fault_kind kind = fault_kind::stop_daemon;
    /// The number of the affected daemon or replica, from 0.
    int target = 0;
};

/// The length of a run and the numbers of its processes.
struct schedule_size
{
    duration length{0};
    int daemons = 1;
    /// Replicas with an engine; plainReplicas have none.
    int replicas = 1;
    int plainReplicas = 3;
};

/// Returns the schedule of faults for a seed, in the order of their times. Faults come in series that overlap, and all end recoveryLength
/// before the end of the run.
std::vector<planned_fault> planFaults(std::uint64_t seed, const schedule_size &size);

/// The length of the last part of a run, in which there are no faults and all daemons have to recover.
constexpr duration recoveryLength(14000);

/// Returns the printed line for a fault of the schedule.
std::string describe(const planned_fault &fault);

/// The kinds of notices that a replica sends about itself in its answers.
enum class notice_kind {
    /// It reports a rate limit.
    limit,
    /// It rejects requests and asks for a backoff.
    backoff,
    /// Its answers announce that it leaves, some time before its entry in the store does.
    leaving
};

/// A notice with its time and the replica that sends it.
struct planned_notice
{
    duration at{0};
    duration lasts{0};
    notice_kind kind = notice_kind::limit;
    int target = 0;
    /// The value as the replica's answers contain it.
    std::string value;
};

/// Returns \a count notices for a seed, spread over the time of the faults. They may overlap. Their random numbers are independent of those
/// of planFaults().
std::vector<planned_notice> planNotices(std::uint64_t seed, const schedule_size &size, int count);
/// Returns the printed line for a notice of the schedule.
std::string describe(const planned_notice &notice);

/// The data centres of a run with evacuations.
constexpr std::array<std::string_view, 2> soakZones = {"ikeja", "lekki"};

/// An evacuation with its time and its data centre.
struct planned_evacuation
{
    duration at{0};
    duration lasts{0};
    std::string zone;
};

/// Returns \a count evacuations for a seed, spread over the time of the faults and one after the other. Their random numbers are
/// independent of those of planFaults().
std::vector<planned_evacuation> planEvacuations(std::uint64_t seed, const schedule_size &size, int count);
/// Returns the printed line for an evacuation of the schedule.
std::string describe(const planned_evacuation &evacuation);

/// A time for which all replicas send nothing, shortly after a change of the configuration.
struct planned_pause
{
    /// When the operator writes the configuration.
    duration changeAt{0};
    duration at{0};
    duration lasts{0};
};

/// The shortest length of a pause, unless another one is asked for.
constexpr duration usualPauseLength(1000);

/// Returns \a count pauses for a seed, spread over the time of the faults and one after the other; they last from \a minLength to 300 ms
/// more. Their random numbers are independent of those of planFaults().
std::vector<planned_pause> planPauses(std::uint64_t seed, const schedule_size &size, int count, duration minLength = usualPauseLength);
/// Returns the printed line for a pause of the schedule.
std::string describe(const planned_pause &pause);

/// Returns \a count series of outages of the store for a seed, spread over the time of the faults: it fails again before the replicas have
/// written all entries anew, and daemons are killed meanwhile. The random numbers are independent of those of planFaults().
std::vector<planned_fault> planOutages(std::uint64_t seed, const schedule_size &size, int count);

/// Returns \a count series of isolated heads for a seed, spread over the time of the faults: several at a time, with a daemon that is
/// killed meanwhile. The random numbers are independent of those of planFaults().
std::vector<planned_fault> planIsolations(std::uint64_t seed, const schedule_size &size, int count);

/// Returns for a seed, \a count times, the loss of all daemons at the same moment, spread over the time of the faults. The random numbers
/// are independent of those of planFaults().
std::vector<planned_fault> planHerdKills(std::uint64_t seed, const schedule_size &size, int count);

/// Returns for a seed, \a count times, planned stops of all daemons one shortly after the other, spread over the time of the faults. The
/// random numbers are independent of those of planFaults().
std::vector<planned_fault> planRolls(std::uint64_t seed, const schedule_size &size, int count);

/// A time for which some replicas do nothing while the others serve. What they are sent meanwhile arrives when it is over.
struct planned_standstill
{
    duration at{0};
    duration lasts{0};
    /// The numbers of these replicas.
    std::vector<int> replicas;
};

/// Returns \a count standstills for a seed, spread over the time of the faults, each of about half of the replicas for 1 to 10 s.
std::vector<planned_standstill> planStandstills(std::uint64_t seed, const schedule_size &size, int count);
/// Returns the printed line for a standstill of the schedule.
std::string describe(const planned_standstill &standstill);

/// A time for which some daemons and the others lose all datagrams to each other; all of them reach the store, the replicas and clients.
struct planned_cut
{
    duration at{0};
    duration lasts{0};
    /// The numbers of the daemons on the side of the coordinator. If that is none of them, it takes the place of the first one.
    std::vector<int> side;
    /// When the daemons of that side are killed at the same moment, once they no longer count the others, and for how long they are absent.
    duration restartsAt{0};
    duration downtime{0};
    /// Whether the coordinator is one of them.
    bool restartsCoordinator = false;
};

/// Returns \a count cuts for a seed, which take most of the time of the faults, one after the other.
std::vector<planned_cut> planCuts(std::uint64_t seed, const schedule_size &size, int count);
/// Returns the printed line for a cut of the schedule.
std::string describe(const planned_cut &cut);

/// A time for which the store is away, after which it comes back from an older copy.
struct planned_restore
{
    /// When the copy is made.
    duration copiedAt{0};
    /// When a change of the configuration is accepted that the copy lacks.
    duration changeAt{0};
    /// When the store goes away and when it comes back.
    duration at{0};
    duration backAt{0};
    /// How long after its return the operator and the replicas write again what it has lost.
    duration rewriteDelay{0};
    /// When a key is withdrawn.
    duration withdrawAt{0};
    /// When a replica announces that it leaves, and the number of that replica.
    duration drainAt{0};
    int target = 0;
};

/// Returns \a count restorations for a seed, spread over the time of the faults and one after the other. Their random numbers are
/// independent of those of planFaults().
std::vector<planned_restore> planRestores(std::uint64_t seed, const schedule_size &size, int count);
/// Returns one loss of a daemon for each of the first \a count restorations, after which the daemon starts again about when the store comes
/// back.
std::vector<planned_fault>
planStartsAtReturns(std::uint64_t seed, const schedule_size &size, const std::vector<planned_restore> &restores, int count);
/// Returns the printed line for a restoration of the schedule.
std::string describe(const planned_restore &restore);

} // namespace vetchpost::test
