// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <optional>
#include <vector>

/// The state that replicas report of themselves, and the groups that follow from the reports.
namespace vetchpost {

/// Number of one formation of a group. It increases with each formation, over all groups.
using formation = sequence<struct formation_tag>;

enum class member_state {
    /// The member loads weights or joins its group.
    joining,
    /// The member has joined; a head in this state does not serve yet.
    ready,
    /// The head serves.
    open,
    /// The head finishes the requests that it holds.
    closing,
    /// The head lost a member and has given up.
    broken
};

/// A replica's membership in a group, as it reports it.
struct group_membership
{
    group_id group;
    formation formed;
    /// 0 is the head.
    int rank = 0;
    member_state state = member_state::joining;

    auto operator<=>(const group_membership &) const = default;
};

/// One incarnation of one replica.
struct served_replica
{
    instance_id id;
    /// "Never" if the replica does not report its incarnation; then each incarnation has its own id.
    replica_incarnation incarnation;
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
    /// Number of requests that it can run concurrently.
    int slots = 0;
    /// It is about to end and accepts no new work.
    bool isDraining = false;
    /// Its entry is gone although nothing shows that it has ended: it may be cut off from the key-value service, or end unannounced. It is
    /// treated as draining.
    bool isUnlisted = false;
    /// Its entry was missing after an outage of the key-value service, and the time to write it again is not over. All else is as it was
    /// before the outage: it may have joined another group since.
    bool isLapsed = false;
    /// It had reported that it is draining before its entry went.
    bool hadReportedDraining = false;
    fabric_domain_id domain;
    /// Models whose weights are on its host.
    std::vector<model_id> staged;
    /// The model that it runs or loads, or the last one that this incarnation ran.
    std::optional<model_id> model;
    std::optional<group_membership> membership;
    /// How much longer it is cold, as its entry or the feed says; from the time when this was received.
    duration coldLeft{};
    /// Until when it is cold; the epoch of the clock if it is not, or as long as the time of receipt is not recorded.
    instant coldUntil{};

    auto operator<=>(const served_replica &) const = default;
};

/// Whether two reports under one id come from different incarnations. A later incarnation has no state of an earlier one.
inline bool isAnotherIncarnation(replica_incarnation one, replica_incarnation other)
{
    return one != other;
}

/// Whether the replica itself reports that it is about to end.
inline bool reportsDraining(const served_replica &replica)
{
    return replica.isDraining && !replica.isUnlisted;
}

struct replica_directory
{
    std::map<instance_id, served_replica> replicas;
    /// Since when this daemon has known that each leaving replica reports itself as draining; the epoch of the clock if it did so when it
    /// was first seen.
    std::map<instance_id, instant> leavingSince = {};
};

/// A group as its members report it.
struct reported_group
{
    group_id id;
    formation formed;
    model_id model;
    /// Members by rank; nullptr for a rank that no replica reports. Points into the directory.
    std::vector<const served_replica *> members;

    const served_replica *head() const
    {
        return members.empty() ? nullptr : members.front();
    }
};

/// The groups of a service, each with the members of its latest formation only.
std::vector<reported_group> groupsOf(const replica_directory &directory, const service_id &service);

/// Whether a group accepts requests: its head is open and not draining, and all \a size members are present. A leaving member stays while
/// its head has work, and the coordinator closes the head before that member ends.
bool acceptsRequests(const reported_group &group, int size);

} // namespace vetchpost
