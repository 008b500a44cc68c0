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

/// One instance's place in a group; its rank is its place in the list.
struct allotted_member
{
    instance_id instance;
    endpoint address;
    fabric_domain_id domain;

    auto operator<=>(const allotted_member &) const = default;
};

/// One replica group as it is meant to be.
struct allotted_group
{
    group_id id;
    deployment_id deployment;
    /// The fencing number of this group's last change.
    generation current;
    model_choice choice;
    bool enginesCheckFencing = false;
    /// Gets no new work; it is changed or removed once its work has ended. Calendar time in milliseconds, 0 for none.
    std::int64_t drainingSince = 0;
    std::vector<allotted_member> members;

    auto operator<=>(const allotted_group &) const = default;
};

/// An instance that an old order may still reach and whose engine would obey it.
struct withheld_instance
{
    instance_id instance;
    /// The epoch in which it was withheld. The wait is counted by the coordinator's own clock from when it learned of it.
    epoch since;

    auto operator<=>(const withheld_instance &) const = default;
};

/// Which instances make up the groups of one data centre: the value in the key-value service that all else follows.
struct allotment
{
    /// Rises with every coordinator that takes over.
    epoch current;
    daemon_id coordinator;
    /// Rises with every write, over all epochs: the source of the groups' generations.
    generation lastGeneration;
    std::vector<allotted_group> groups;
    std::vector<withheld_instance> withheld;

    const allotted_group *findGroup(const group_id &id) const;
    auto operator<=>(const allotment &) const = default;
};

/// The key of a data centre's allotment in the key-value service.
std::string allotmentKey(const data_centre_id &dataCentre);
std::string toText(const allotment &value);
/// Nothing where the text is no allotment. The empty text is the empty allotment.
std::optional<allotment> allotmentFrom(const std::string &text);

/// What is wrong with an allotment; nothing where it may be written: no instance stands twice, names and generations are
/// unique, no group is empty.
std::optional<std::string> allotmentProblem(const allotment &value);

} // namespace vetchpost
