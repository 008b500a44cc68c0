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

/// How many replicas of a deployment this data centre is to run.
struct deployment_want
{
    deployment wanted;
    /// Nothing while this data centre's share cannot be told yet, which is not the same as none.
    std::optional<int> replicas;
};

/// The numbers that planning weighs with. docs/design/GROUPS.md gives their sources.
struct planning_policy
{
    /// A member that is missing for less is only waited for.
    duration missingGrace{3000};
    /// So long a domain of which most is missing at once is waited for before its groups are built elsewhere.
    duration darkDomainGrace{60000};
    /// A domain is dark when at least this share of its instances went missing ...
    double darkDomainShare = 0.5;
    /// ... and at least so many.
    int darkDomainInstances = 4;
    /// Of the instances that go missing, the share that comes back from a restart: 91 of 105 in a day.
    double restartShare = 0.867;
    /// How long a failed instance is away.
    duration repairTime{14400000};
    /// How long members take to find each other when no weights are loaded.
    duration reformTime{3000};
    /// How much worse a replica is that spans domains, as a share of its downtime cost over the time until repair.
    double spanPenalty = 0.5;
    /// Loads ordered at once, as a multiple of those that the store feeds at full rate.
    double loadsPerStoreSlot = 1.5;
    /// The store's concurrency while it is not known.
    int assumedStoreSlots = 16;
    /// A drained group must have been draining for so long, so that every gateway has heard of it.
    duration drainSettle{3000};
    duration drainTimeout{600000};
    /// A coordinator that has just taken over waits so long for word of members that it has not heard of. An instance whose observer was
    /// replaced counts as missing after the same time (cluster_state's wordGrace).
    duration viewGrace{5000};
    /// Of a deployment's groups at most this share (at least one group) is out of service at a time because there are more than wanted, so
    /// that a wrong count is noticed before everything is down.
    double surplusShare = 0.25;
};

struct planning_input
{
    const allotment &current;
    const instance_tracker &tracker;
    /// Nothing while no configuration has been read.
    const std::optional<std::vector<deployment_want>> &wants;
    weight_store_state store;
    /// Instances that an old order may still reach, with the time from which they may be used again.
    const std::map<instance_id, instant> &notBefore;
    instant now;
    std::int64_t calendarNow = 0;
    /// Part of the names of new groups: they are unique over all data centres.
    data_centre_id dataCentre;
    /// Since when the planning daemon has been collecting what it knows of the members.
    instant viewSince;
};

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

std::string_view planActionName(plan_action action);

/// One way to make a broken group whole.
struct repair_option
{
    plan_action action = plan_action::wait;
    duration expectedTime{};
    double cost = 0;
    /// The groups that are taken apart for it.
    std::vector<group_id> sources;
    /// The new members: for a repair in place one for each missing rank, for a rebuild all of them.
    std::vector<instance_id> instances;
};

/// What was decided of one group, and why.
struct planning_decision
{
    group_id group;
    plan_action action = plan_action::wait;
    std::string why;
    std::vector<repair_option> alternatives;
};

struct planning_result
{
    allotment next;
    bool hasChanged = false;
    std::vector<planning_decision> decisions;
};

/// What the view lacks before anything may be planned on it; nothing where it is whole.
std::optional<std::string> viewGap(const planning_input &input, const planning_policy &policy);
/// Plans one round: what the allotment should become. Pure; docs/design/GROUPS.md numbers its steps.
/// Plans nothing while the view is not whole.
planning_result planGroups(const planning_input &input, const planning_policy &policy);

} // namespace vetchpost
