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

/// What one daemon is told at its start. Every key is described in docs/OPERATING.md.
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
    /// Peers to ask first; the others are learned from them.
    std::vector<endpoint> firstPeers;
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

/// Reads and checks the settings. Nothing where there is any problem.
std::optional<daemon_settings> readDaemonSettings(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);

} // namespace vetchpost
