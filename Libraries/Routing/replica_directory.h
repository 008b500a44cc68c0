// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <optional>
#include <vector>

/// What replicas say of themselves, and the groups that follow from it.
namespace vetchpost {

/// Rises with each forming of a group, over all groups.
using formation = sequence<struct formation_tag>;

enum class member_state {
    /// Loads or takes its place.
    joining,
    /// Has its place; a head in this state serves nothing yet.
    ready,
    /// A head that serves.
    open,
    /// A head that finishes what it holds.
    closing,
    /// A head that lost a member and gave up.
    broken
};

/// A replica's place in a group, by its own word.
struct group_membership
{
    group_id group;
    formation formed;
    /// 0 is the head.
    int rank = 0;
    member_state state = member_state::joining;

    auto operator<=>(const group_membership &) const = default;
};

/// One start of one replica.
struct served_replica
{
    instance_id id;
    /// "Never" where the replica does not tell its lives apart: then each has an id of its own.
    replica_life life;
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
    /// Requests that it runs at once.
    int slots = 0;
    /// It is about to end and takes no new work.
    bool isDraining = false;
    /// Its entry is gone though nothing says that it has ended: it may be cut off from the key-value service, or end unannounced. It is
    /// treated as draining.
    bool isUnlisted = false;
    /// It had said that it leaves before its entry went.
    bool hasAnnounced = false;
    fabric_domain_id domain;
    /// Models whose weights lie on its host.
    std::vector<model_id> staged;
    /// The model that it runs or loads, or ran last in this life.
    std::optional<model_id> model;
    std::optional<group_membership> membership;

    auto operator<=>(const served_replica &) const = default;
};

/// Whether two words of one id come from different starts: the later one holds and knows nothing of the earlier.
inline bool isAnotherLife(replica_life one, replica_life other)
{
    return one != other;
}

/// Whether the replica itself has said that it is about to end.
inline bool saysItLeaves(const served_replica &replica)
{
    return replica.isDraining && !replica.isUnlisted;
}

struct replica_directory
{
    std::map<instance_id, served_replica> replicas;
    /// Since when this daemon knows of each replica that says it leaves; the beginning of time where it was leaving when it was first seen.
    std::map<instance_id, instant> leavingSince = {};
};

/// A group as its members tell it.
struct seen_group
{
    group_id id;
    formation formed;
    model_id model;
    /// By rank; nullptr where nobody says that he has the rank. Points into the directory.
    std::vector<const served_replica *> members;

    const served_replica *head() const
    {
        return members.empty() ? nullptr : members.front();
    }
};

/// The groups of a service, each under its latest formation alone.
std::vector<seen_group> groupsOf(const replica_directory &directory, const service_id &service);

/// Whether a group takes requests: an open head that does not leave, and all members of its model's size present. A member that leaves
/// stays while its head has work; the coordinator closes the head before it ends.
bool takesRequests(const seen_group &group, int size);

} // namespace vetchpost
