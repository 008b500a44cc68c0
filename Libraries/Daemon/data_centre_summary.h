// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Platform/instance_list_client.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// What a daemon says of itself, in its fact "about".
struct about_daemon
{
    data_centre_id dataCentre;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    revision inForce;
    bool isCoordinator = false;
    bool isStopping = false;
};

std::string toText(const about_daemon &about);
std::optional<about_daemon> aboutDaemonFrom(const std::string &text);

struct summarised_member
{
    daemon_id daemon;
    about_daemon about;
    /// As livenessOf() of the coordinator that wrote the summary.
    int liveness = 0;
};

struct summarised_group
{
    group_id group;
    deployment_id deployment;
    generation expected;
    endpoint leader;
};

/// What a data centre's coordinator tells the other data centres.
struct data_centre_summary
{
    data_centre_id dataCentre;
    std::vector<summarised_member> members;
    /// The serving groups.
    std::vector<summarised_group> groups;
    /// The instances of plain services that take work.
    std::vector<listed_instance> services;
    /// How many instances with model engines each fabric domain has.
    std::vector<int> domainSizes;
};

std::string toText(const data_centre_summary &summary);
std::optional<data_centre_summary> dataCentreSummaryFrom(const std::string &text);

/// The list of one data centre's instances, as its coordinator passes it on.
std::string instanceListText(const std::vector<listed_instance> &list);
std::vector<listed_instance> instanceListFrom(const std::string &text);

} // namespace vetchpost
