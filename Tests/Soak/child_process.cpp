// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace vetchpost::test {

namespace {

constexpr int logMode = 0644;

/// The file actions and attributes for posix_spawn, freed by the destructor.
struct spawn_options
{
    posix_spawn_file_actions_t actions{};
    posix_spawnattr_t attributes{};

    explicit spawn_options(const std::string &logFile)
    {
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        // A connection that the child had inherited would stay open after this process closes it.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        // The child starts with an empty signal mask.
        posix_spawnattr_init(&attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes, &none);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    }

    ~spawn_options()
    {
        posix_spawn_file_actions_destroy(&actions);
        posix_spawnattr_destroy(&attributes);
    }

    spawn_options(const spawn_options &) = delete;
    spawn_options &operator=(const spawn_options &) = delete;
};

} // namespace

child_process::child_process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const spawn_options options(logFile);
    if (posix_spawn(&m_process, arguments[0], &options.actions, &options.attributes, arguments.data(), environ) != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

child_process::~child_process()
{
    if (!endedAt()) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

void child_process::signal(int number)
{
    // After the process has been reaped, its id may belong to another process.
    if (!endedAt()) {
        kill(m_process, number);
    }
}

std::optional<instant> child_process::endedAt()
{
    if (!m_endedAt && waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_endedAt = monotonicNow();
    }
    return m_endedAt;
}

std::optional<resource_sample> child_process::resources()
{
    if (endedAt()) {
        return std::nullopt;
    }
    const std::string folder = "/proc/" + std::to_string(m_process);
    resource_sample sample;
    std::ifstream status(folder + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            status >> sample.memoryKilobytes;
        } else if (word == "Threads:") {
            status >> sample.threads;
        }
    }
    std::error_code error;
    for (std::filesystem::directory_iterator entry(folder + "/fd", error), end; !error && entry != end; entry.increment(error)) {
        ++sample.descriptors;
    }
    return sample.threads == 0 || error ? std::nullopt : std::optional(sample);
}

} // namespace vetchpost::test
