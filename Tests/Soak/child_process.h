// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_facts.h"

#include <sys/types.h>

namespace vetchpost::test {

/// A child process whose output goes to a file. Signals go to its process id alone. The destructor kills it if it still runs.
class child_process
{
public:
    /// Starts \a command and appends its output to \a logFile. Throws std::runtime_error if the program cannot be started.
    child_process(const std::vector<std::string> &command, const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Sends a signal to the process; does nothing once it has ended.
    void signal(int number);
    /// Returns when the process was first seen to have ended, or nothing while it runs.
    std::optional<instant> endedAt();
    /// Returns the process's current resource use, or nothing if it has ended or /proc cannot be read.
    std::optional<resource_sample> resources();

private:
    pid_t m_process = 0;
    std::optional<instant> m_endedAt;
};

} // namespace vetchpost::test
