// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/log.h"
#include "Libraries/Settings/yaml_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// The settings that a daemon reads at its start. docs/OPERATING.md describes every key.
struct daemon_settings
{
    daemon_id daemon;
    data_centre_id dataCentre;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    endpoint keyValue;
    endpoint instanceList;
    endpoint weightStore;
    /// The daemons to contact first; they supply the addresses of the other daemons.
    std::vector<endpoint> seedPeers;
    std::string operatorToken;
    std::string peerToken;
    std::size_t maximumBodyBytes = 0;
    int maximumStreams = 0;
    duration defaultDeadline{};
    duration leaseTime{};
    duration orderTimeout{};
    duration observationPeriod{};
    duration exchangePeriod{};
    duration claimBatchPeriod{};
    duration drainTimeout{};
    log_level lowestLogLevel = log_level::info;
};

/// Parses and checks the settings. Appends what is wrong to \a problems, and returns nothing if there is any problem. \a file is only the
/// name of the text in the problems.
std::optional<daemon_settings> readDaemonSettings(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);

} // namespace vetchpost
