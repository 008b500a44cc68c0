// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Daemon/instance_observations.h"
#include "Libraries/Daemon/snapshot_builder.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// The state of a group at the last check, and when the group entered it.
struct recorded_group_state
{
    group_state state = group_state::broken;
    instant since;
};

/// The data of a cluster_state, and the functions that apply what other daemons send. The caller of each function holds the mutex.
struct cluster_state::private_data
{
    daemon_settings settings;
    mutable std::mutex mutex;
    exchange_state exchange;
    /// This daemon's own description, published as a fact.
    daemon_description description;
    instance_tracker tracker;
    allotment allotted;
    configuration_head head;
    std::shared_ptr<const configuration> wanted;
    std::map<data_centre_id, data_centre_summary> summaries;
    /// When the last summary or sign of life of each other data centre arrived.
    std::map<data_centre_id, instant> dataCentreReportedAt;
    /// The daemons of this data centre, as listed in its coordinator's summary.
    std::vector<summarised_member> localMembers;
    snapshot_builder builder;
    rcu_snapshot<routing_snapshot> snapshot;
    std::map<group_id, recorded_group_state> groupStates;
    /// The last observations of instances that this daemon published.
    std::map<instance_id, published_state> publishedStates;
    /// When a usable observation of each instance by any daemon was last known.
    std::map<instance_id, instant> lastObservedAt;
    bool isDirty = true;
    instant lastMembershipCheck;
    /// When this daemon first advanced its heartbeat.
    std::optional<instant> startedAt;

    void publishDescription();
    /// The description that a daemon published. Nothing if there is none or it cannot be parsed.
    std::optional<daemon_description> descriptionOf(const daemon_id &daemon) const;
    /// Puts a published configuration in force if it is newer than the current one and can be read.
    void applyConfiguration(const shared_register &value);
    void applyAllotment(const shared_register &value);
    void applySummary(const shared_register &value, instant now);
    /// Applies the current value of a register that has changed.
    void applyRegister(const std::string &name, instant now);
    /// Updates the tracker with the observations that other daemons published, except for the instances that this daemon probes.
    void mergeObservations(instant now);
    /// Whether the groups are known and each member has either reported a state or been found missing.
    bool hasReceivedGroups() const;
    /// Records the state of each group and logs the changes.
    void recordGroupStates(instant now);
    /// Whether the shares can be computed: the instance list is known, and the other data centres had time to send their summaries.
    bool areSharesKnown(instant now) const;
    /// The number of replicas of a deployment that this data centre runs.
    int shareOf(const deployment &wantedDeployment, const data_centre_summary &own, instant now) const;
    /// Whether a data centre has been silent for so long that the others take over its replicas.
    bool isLost(const data_centre_id &dataCentre, instant now) const;
};

} // namespace vetchpost
