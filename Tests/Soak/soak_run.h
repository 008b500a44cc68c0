// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_facts.h"
#include "Tests/Soak/soak_schedule.h"

#include <memory>

namespace vetchpost::test {

struct soak_options
{
    std::uint64_t seed = 1;
    schedule_size size;
    int clients = 12;
    /// Requests that end each replica which runs them; each comes again and again until the faults end.
    int deadlyRequests = 0;
    /// Times that a replica names a limit, asks for rest or says that it leaves.
    int notices = 0;
    /// For settings and logs.
    std::string folder;
    std::string daemonProgram;
    /// Where the programs of the stand-ins are.
    std::string standIns;
    /// The first port; some hundred from it on are used.
    std::uint16_t basePort = 30000;
};

/// Makes the run at hand end early, with its processes. May be called by a signal handler.
void interruptSoak();

/// Starts the stand-ins, the daemons and the clients, disturbs them as planned and returns what was seen. Throws where they cannot be
/// started or do not serve before the first fault. All processes have ended when it returns.
soak_facts runSoak(const soak_options &options, const std::vector<planned_fault> &plan);

} // namespace vetchpost::test
