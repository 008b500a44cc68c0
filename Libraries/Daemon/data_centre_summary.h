// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Platform/instance_list_client.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// A daemon's description of itself, published as its fact "about".
struct daemon_description
{
    data_centre_id dataCentre;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    /// The revision of the configuration in force at the daemon.
    revision inForce;
    bool isCoordinator = false;
    bool isStopping = false;
};

std::string toText(const daemon_description &description);
/// Parses a description. Returns nothing if an address is missing or malformed.
std::optional<daemon_description> daemonDescriptionFrom(const std::string &text);

/// A daemon in the summary of its data centre.
struct summarised_member
{
    daemon_id daemon;
    daemon_description description;
    /// The peer_liveness that the coordinator computed when it wrote the summary.
    int liveness = 0;
};

/// A serving group in the summary of its data centre.
struct summarised_group
{
    group_id group;
    deployment_id deployment;
    generation expected;
    endpoint leader;
};

/// The state of a data centre that its coordinator publishes to the other data centres.
struct data_centre_summary
{
    data_centre_id dataCentre;
    std::vector<summarised_member> members;
    /// The groups that are serving.
    std::vector<summarised_group> groups;
    /// The instances of plain services that accept requests.
    std::vector<listed_instance> services;
    /// The number of instances with model engines in each fabric domain that has any.
    std::vector<int> domainSizes;
};

std::string toText(const data_centre_summary &summary);
/// Parses a summary. Returns nothing if the text is not a JSON object; skips members and groups without valid addresses.
std::optional<data_centre_summary> dataCentreSummaryFrom(const std::string &text);

/// Serialises the instance list of a data centre, as its coordinator publishes it.
std::string instanceListText(const std::vector<listed_instance> &list);
/// Parses an instance list. Skips entries that cannot be parsed; returns an empty list if the text is not a JSON array.
std::vector<listed_instance> instanceListFrom(const std::string &text);

} // namespace vetchpost
