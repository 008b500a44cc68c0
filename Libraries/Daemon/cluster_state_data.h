// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Daemon/instance_words.h"
#include "Libraries/Daemon/snapshot_builder.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// How a group stood when it was last looked at, and since when.
struct seen_standing
{
    group_state standing = group_state::broken;
    instant since;
};

/// What a cluster_state knows, and how it takes in what others tell. The mutex is held in all functions.
struct cluster_state::private_data
{
    daemon_settings settings;
    mutable std::mutex mutex;
    exchange_state exchange;
    about_daemon about;
    instance_tracker tracker;
    allotment allotted;
    configuration_head head;
    std::shared_ptr<const configuration> wanted;
    std::map<data_centre_id, data_centre_summary> summaries;
    /// When each other data centre was last heard of.
    std::map<data_centre_id, instant> heard;
    /// The daemons of the own data centre by its coordinator's summary.
    std::vector<summarised_member> neighbours;
    snapshot_builder builder;
    rcu_snapshot<routing_snapshot> snapshot;
    std::map<group_id, seen_standing> standings;
    std::map<instance_id, told_state> toldStates;
    /// When anybody's word on an instance was last known.
    std::map<instance_id, instant> lastWords;
    bool isDirty = true;
    instant lastMembershipCheck;
    /// The first beat of this run.
    std::optional<instant> startedAt;

    void publishAbout();
    std::optional<about_daemon> aboutOf(const daemon_id &daemon) const;
    void takeConfiguration(const shared_register &value);
    void takeAllotment(const shared_register &value);
    void takeSummary(const shared_register &value, instant now);
    void takeRegister(const std::string &name, instant now);
    void takeWords(instant now);
    /// Whether the groups are known and every member has been heard of.
    bool hasHeardOfGroups() const;
    void noteStandings(instant now);
    /// Shares are reckoned only with the own instances at hand, and after the other data centres had time to be heard of.
    bool areSharesKnown(instant now) const;
    int shareOf(const deployment &wantedDeployment, const data_centre_summary &own, instant now) const;
    bool isLost(const data_centre_id &dataCentre, instant now) const;
};

} // namespace vetchpost
