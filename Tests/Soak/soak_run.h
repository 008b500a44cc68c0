// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_facts.h"
#include "Tests/Soak/soak_schedule.h"

#include <memory>

namespace vetchpost::test {

/// The options of a soak run.
struct soak_options
{
    std::uint64_t seed = 1;
    schedule_size size;
    int clients = 12;
    /// The number of deadly requests: each ends every replica that runs it and is sent repeatedly until the faults end.
    int deadlyRequests = 0;
    /// How many times a replica reports a rate limit, asks for a backoff or announces that it leaves.
    int notices = 0;
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
