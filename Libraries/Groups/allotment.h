// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Engines/engine_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// One instance's membership in a group. Its rank is its index in allotted_group::members.
struct allotted_member
{
    instance_id instance;
    endpoint address;
    fabric_domain_id domain;

    auto operator<=>(const allotted_member &) const = default;
};

/// The desired state of one replica group.
struct allotted_group
{
    group_id id;
    deployment_id deployment;
    /// Generation of the group's last change. Orders carry it as their fencing number.
    generation current;
    model_choice choice;
    bool enginesCheckFencing = false;
    /// When draining began, in milliseconds of calendar time; 0 if the group is not draining. A draining group gets no new work and is
    /// changed or removed once its work has ended.
    std::int64_t drainingSince = 0;
    std::vector<allotted_member> members;

    auto operator<=>(const allotted_group &) const = default;
};

/// An instance that must not be reused yet: an old order may still reach it, and its engine does not check fencing numbers.
struct withheld_instance
{
    instance_id instance;
    /// The epoch in which it was withheld. The waiting time is measured by the coordinator's own clock, from when it learned of the entry.
    epoch since;

    auto operator<=>(const withheld_instance &) const = default;
};

/// Assigns the instances of one data centre to groups. The value in the key-value service is authoritative; orders and routing are
/// derived from it.
struct allotment
{
    /// Incremented by every coordinator that takes over.
    epoch current;
    daemon_id coordinator;
    /// Incremented by every write, across all epochs. The groups' generations are taken from it.
    generation lastGeneration;
    std::vector<allotted_group> groups;
    std::vector<withheld_instance> withheld;

    const allotted_group *findGroup(const group_id &id) const;
    auto operator<=>(const allotment &) const = default;
};

/// Returns the key of a data centre's allotment in the key-value service.
std::string allotmentKey(const data_centre_id &dataCentre);
/// Serialises an allotment as JSON.
std::string toText(const allotment &value);
/// Parses an allotment. Empty text gives an empty allotment; returns nothing for text that is not a valid allotment.
std::optional<allotment> allotmentFrom(const std::string &text);

/// Returns the allotment that was stored later. Only a key-value service that came back from an older copy holds the other one.
const allotment &newestOf(const allotment &stored, const allotment &known);

/// Describes why an allotment must not be written, or returns nothing if it may be: each instance has at most one membership, group ids
/// are unique, no group is empty, and no group's generation exceeds the last generation.
std::optional<std::string> allotmentProblem(const allotment &value);

} // namespace vetchpost
