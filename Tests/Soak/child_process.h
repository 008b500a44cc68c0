// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_facts.h"

#include <sys/types.h>

namespace vetchpost::test {

/// A program that this process started, with its output in a file. It is ended by its id alone, at the latest with this object.
class child_process
{
public:
    /// Throws where the program cannot be started. Output is added to \a logFile.
    child_process(const std::vector<std::string> &command, const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number);
    /// When it was seen to have ended; nothing while it runs.
    std::optional<instant> endedAt();
    /// What it uses now; nothing where it cannot be read.
    std::optional<resource_sample> resources();

private:
    pid_t m_process = 0;
    std::optional<instant> m_endedAt;
};

} // namespace vetchpost::test
