// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_checks.h"
#include "Tests/Soak/soak_facts.h"
#include "Tests/Soak/soak_schedule.h"

#include <memory>

namespace vetchpost::test {

/// How long a replica is cold after each start but its first. Within any second all daemons together may send it coldOverrun times its cold
/// rate, plus coldSlack requests.
constexpr duration coldTime(3000);
constexpr int coldOverrun = 2;
constexpr int coldSlack = 2;

/// The options of a soak run.
struct soak_options
{
    std::uint64_t seed = 1;
    schedule_size size;
    int clients = 12;
    /// The number of deadly requests: each ends every replica that runs it and is sent repeatedly until the faults end.
    int deadlyRequests = 0;
    /// The number of deadly parts of prompts: each ends every replica that begins to answer a request with it, and comes with requests of
    /// which no two are alike.
    int deadlyParts = 0;
    /// How long the port of a replica stays open after a deadly request, whose connection ends at once.
    duration exitTime{};
    /// How many times a replica reports a rate limit, asks for a backoff or announces that it leaves.
    int notices = 0;
    /// The number of evacuations of one of the two data centres.
    int evacuations = 0;
    /// How many times the store goes away and comes back from an older copy.
    int restores = 0;
    /// In how many of the restorations the store loses the withdrawal of a key, and a daemon starts about when the store comes back.
    int lostWithdrawals = 0;
    /// How many times all replicas are silent while the configuration changes.
    int pauses = 0;
    /// The shortest length of these pauses. The longest is 300 ms above it.
    duration pauseLength = usualPauseLength;
    /// How many times the store fails in quick succession, with daemons killed meanwhile and entries that return one by one.
    int outages = 0;
    /// The requests that a replica with an engine runs at once.
    int slots = 26;
    /// The period at which replicas renew their entries.
    duration heartbeat{400};
    /// Requests per second that a replica accepts while it is cold: after each start but its first, and several times all at once; 0 if
    /// replicas are never cold.
    int coldPerSecond = 0;
    /// Of a hundred requests, the number that replicas reject as full while there are faults.
    int rejectionsPerHundred = 0;
    /// Whether the rejections come in waves, between which the daemons' parts of the retries fill up again.
    bool isRejectingInWaves = false;
    /// How many times all daemons are killed at the same moment.
    int herdKills = 0;
    /// How many times all daemons are stopped and started again, one shortly after the other.
    int rolls = 0;
    /// How many times some replicas do nothing for a while as the others serve.
    int standstills = 0;
    /// How many times the daemons are cut off from each other, and some of one side restart.
    int cuts = 0;
    /// Whether the settings of each start say that it is the first one, as those of a file that is written only once.
    bool hasStaleSettings = false;
    /// The retries in a window that are allowed beside those for each request.
    int retrySlack = soak_bounds().retrySlack;
    /// Of a thousand events of streams, the number that arrive as late as a retransmitted packet.
    int lossesPerThousand = 0;
    /// The folder for settings and logs.
    std::string folder;
    std::string daemonProgram;
    /// The folder with the programs of the stand-ins.
    std::string standIns;
    /// The first of several hundred ports that the run uses.
    std::uint16_t basePort = 30000;
};

/// Makes the current run and its processes end early. Safe to call from a signal handler.
void interruptSoak();

/// Starts the stand-ins, the daemons and the clients, applies the planned faults and returns the recorded facts. Throws std::runtime_error
/// if the processes cannot be started or do not serve in time, or if the run is interrupted. All processes have ended when it returns.
soak_facts runSoak(const soak_options &options, const std::vector<planned_fault> &plan);

} // namespace vetchpost::test
