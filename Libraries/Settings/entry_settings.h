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

/// The bound on the requests that all daemons together may send to one cold replica in any second: overrun x its rate + slack.
struct cold_settings
{
    double overrun = 0;
    double slack = 0;
};

/// The settings that an entry daemon reads at its start. docs/OPERATIONS.md describes every key.
struct entry_settings
{
    daemon_id daemon;
    data_centre_id dataCentre;
    /// Serves the clients' requests.
    endpoint callers;
    /// The load balancer checks here whether this daemon accepts new connections.
    endpoint readiness;
    /// Serves calls from other daemons and the metrics.
    endpoint peers;
    /// Where other daemons reach this one, if that is not \a peers because addresses are translated in between.
    std::optional<endpoint> peersAnnounced;
    /// Receives slot requests and their answers; nothing if the settings name no address.
    std::optional<endpoint> dispatch;
    endpoint keyValue;
    /// Whether this is the first start of the whole system, before anything serves requests.
    bool isFirstStart = false;
    int maximumConnections = 0;
    /// The time for which a key may still be accepted after an operator has revoked it.
    duration keyRevocation{};
    /// Whether keyRevocation also applies to a daemon that is cut off. Such a daemon accepts no keys once its keys have not been confirmed
    /// as current for that time.
    bool isKeyRevocationStrict = true;
    /// The time within which an accepted configuration must be in force at every daemon.
    duration configurationApply{};
    /// The time within which the evacuation of a data centre must be in force at every daemon; 0 if the platform has no evacuations.
    duration evacuation{};
    /// The time between SIGTERM and SIGKILL.
    duration stopGrace{};
    /// The period at which a replica writes its entry. The entry is removed after three missing writes.
    duration heartbeat{};
    /// The retries that all daemons together may send, as a share of the requests in the last retryWindow.
    double retryShare = 0;
    /// The time window in which requests and retries are counted.
    duration retryWindow{};
    /// The number of retries that all daemons together may send in a retryWindow in addition to retryShare.
    int retrySlack = 0;
    /// The time after which the coordinator's lease expires unless it is renewed.
    duration leaseTime{};
    /// The contracts that the platform says it keeps, by its names for them.
    std::vector<std::string> contracts;
    /// Whether dispatchers place the requests; nothing if the contracts decide that.
    std::optional<bool> dispatchSwitch;
    /// The share of a core that this daemon may use.
    double processorShare = 1;
    /// The memory that this process may use, in MiB.
    double memoryMb = 160;
    /// How many requests and tunnels this daemon bears at once while it carries tunnels for others; nothing if that follows from
    /// processorShare. 0 if it carries none.
    std::optional<int> tunnelCapacity;
    /// Nothing if requests to cold replicas are not paced.
    std::optional<cold_settings> cold;
    /// Whether decisions are logged to standard output.
    bool isLogOn = true;
    /// The digest of the text of the settings, to distinguish different settings.
    std::string digest;
    log_level lowestLogLevel = log_level::info;
};

/// Parses and checks the settings. Appends what is wrong to \a problems, and returns nothing if there is any problem. \a file is only the
/// name of the text in the problems.
std::optional<entry_settings> readEntrySettings(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);

/// Returns the address at which other daemons reach this one.
const endpoint &announcedPeers(const entry_settings &settings);

/// Returns how many requests the daemon's share of a processor can handle per second.
double requestsPerSecond(const entry_settings &settings);

/// Returns how many requests and tunnels the daemon bears at once while it carries tunnels for others.
int tunnelCapacity(const entry_settings &settings);

/// Returns how many bytes the bodies of all requests together may use.
std::size_t bodyMemoryLimit(const entry_settings &settings);

/// Returns the highest age that the configuration of a daemon may reach: configurationApply, or keyRevocation if that is strict and
/// shorter.
duration configurationAgeLimit(const entry_settings &settings);

} // namespace vetchpost
