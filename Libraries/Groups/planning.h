// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Configuration/configuration.h"
#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/instance_tracker.h"
#include "Libraries/Platform/weight_store_client.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vetchpost {

/// A deployment and the number of its replicas that this data centre should run.
struct deployment_want
{
    deployment wanted;
    /// Nothing while this data centre's share is unknown, which differs from zero replicas.
    std::optional<int> replicas;
};

/// Parameters of planning. docs/design/GROUPS.md gives their sources.
struct planning_policy
{
    /// A member that has been missing for less than this is not replaced.
    duration missingGrace{3000};
    /// How long after the last loss in a domain with an outage its groups are left alone before they are rebuilt elsewhere.
    duration domainOutageGrace{60000};
    /// Share of a domain's listed instances that must be missing for the domain to have an outage.
    double domainOutageShare = 0.5;
    /// Number of a domain's instances that must be missing for the domain to have an outage.
    int domainOutageMinInstances = 4;
    /// Share of missing instances that return after a restart: 91 of 105 a day. The others have failed.
    double restartShare = 0.867;
    /// How long a failed instance is missing until it has been repaired.
    duration repairTime{14400000};
    /// How long the members of a group take to connect to each other, without loading weights.
    duration reformTime{3000};
    /// Cost of a replica that spans domains, as a share of the cost of its downtime until the missing members return.
    double spanPenalty = 0.5;
    /// Maximum number of concurrent weight loads, as a multiple of those that the weight store serves at full rate.
    double loadsPerStoreSlot = 1.5;
    /// Loads that the weight store is assumed to serve at full rate while its concurrency is unknown.
    int defaultStoreSlots = 16;
    /// A serving group drains for at least this time, so that every gateway has learned that it does.
    duration minDrainTime{3000};
    /// A group that still has work after this time counts as drained.
    duration drainTimeout{600000};
    /// How long a new coordinator waits for observations of all members before it plans. An instance whose observer was replaced counts
    /// as missing after the same time (unobservedGrace in cluster_state_data.cpp).
    duration viewGrace{5000};
    /// At most this share of a deployment's groups, but at least one group, drains at a time because there are more than wanted, so that a
    /// wrong count is noticed before all groups are down.
    double surplusShare = 0.25;
};

/// Everything that one planning round depends on.
struct planning_input
{
    const allotment &current;
    const instance_tracker &tracker;
    /// Nothing until the configuration has been read.
    const std::optional<std::vector<deployment_want>> &wants;
    weight_store_state store;
    /// Instances that an old order may still reach, and when they may be reused.
    const std::map<instance_id, instant> &reusableFrom;
    instant now;
    std::int64_t calendarNow = 0;
    /// Part of the ids of new groups, which are unique across all data centres.
    data_centre_id dataCentre;
    /// When the planning daemon began to collect observations of the members.
    instant collectingSince;
};

/// What is done with a group.
enum class plan_action {
    wait,
    use_standby,
    use_donor,
    preempt,
    rebuild_elsewhere,
    span_domains,
    form,
    drain,
    change_model,
    remove,
    resume
};

/// Returns the name used in the log and the operators' interface.
std::string_view planActionName(plan_action action);

/// One way to repair a broken group.
struct repair_option
{
    plan_action action = plan_action::wait;
    /// Expected time until the group serves again.
    duration expectedTime{};
    /// Cost in weighted seconds: downtime and idle members of this group, plus the losses of removed groups or the slowness while spanning
    /// domains.
    double cost = 0;
    /// The groups that are removed to free their members.
    std::vector<group_id> dissolvedGroups;
    /// The new members: one for each lost rank for a repair in place, all of them for a rebuild.
    std::vector<instance_id> instances;
};

/// A decision about one group with its reason and the options considered.
struct planning_decision
{
    group_id group;
    plan_action action = plan_action::wait;
    std::string why;
    std::vector<repair_option> alternatives;
};

/// Result of one planning round.
struct planning_result
{
    allotment next;
    bool hasChanged = false;
    std::vector<planning_decision> decisions;
};

/// Describes what is missing from the input for planning, or returns nothing if it is complete.
std::optional<std::string> incompleteViewReason(const planning_input &input, const planning_policy &policy);
/// Plans one round and returns the next allotment. Has no side effects. Changes nothing while the input is incomplete.
/// docs/design/GROUPS.md numbers the steps.
planning_result planGroups(const planning_input &input, const planning_policy &policy);

} // namespace vetchpost
