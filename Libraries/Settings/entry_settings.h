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

/// What an entry daemon is told at its start. Every key is described in docs/OPERATIONS.md.
struct entry_settings
{
    daemon_id daemon;
    data_centre_id dataCentre;
    endpoint callers;
    /// Where the balancer asks whether this daemon takes new connections.
    endpoint readiness;
    /// Calls from other daemons, and metrics.
    endpoint peers;
    endpoint keyValue;
    /// The very first start of the whole system: nothing serves yet.
    bool isFirstStart = false;
    int maximumConnections = 0;
    /// How long a key may still be taken after an operator has withdrawn it.
    duration keyRevocation{};
    /// Whether that holds for a daemon that is cut off too: one that has not heard for so long that its keys are the newest takes none.
    bool isKeyRevocationStrict = true;
    /// How soon an accepted configuration has to be in force at every daemon.
    duration configurationApply{};
    /// Between SIGTERM and SIGKILL.
    duration stopGrace{};
    /// How often a replica writes to its entry; three missing writes remove it.
    duration heartbeat{};
    /// How long a group that lost a member stands still before its head gives up.
    duration stallTime{};
    /// Repeats that all daemons together may send: a share of the requests ...
    double retryShare = 0;
    /// ... within this window ...
    duration retryWindow{};
    /// ... and so many besides.
    int retrySlack = 0;
    /// How long the coordinator's lease holds without a renewal.
    duration leaseTime{};
    /// Whether decisions are logged on standard output.
    bool isLogOn = true;
    /// Of the settings' text, to tell one from another.
    std::string digest;
    log_level lowestLogLevel = log_level::info;
};

/// Reads and checks the settings. Nothing where there is any problem.
std::optional<entry_settings> readEntrySettings(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);

/// How old a daemon's configuration may become: the bound for putting one in force, or that for withdrawn keys where it is strict and
/// shorter.
duration oldestConfiguration(const entry_settings &settings);

} // namespace vetchpost
