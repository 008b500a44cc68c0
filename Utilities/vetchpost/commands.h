// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

namespace vetchpost {

enum exit_code { exit_done = 0, exit_refused = 1, exit_bad_arguments = 2, exit_conflict = 3, exit_no_daemon = 4 };

/// Arguments and options of the command line; a text that was not given is empty.
struct command_options
{
    std::string file;
    std::string group;
    std::string key;
    std::string model;
    std::string prompt;
    /// Address of a daemon's operators' interface.
    std::string daemonAddress;
    /// Address of a daemon's callers' interface.
    std::string callersAddress;
    /// Revision of the configuration that the edit is based on.
    std::string baseRevision;
    std::string author;
    std::string editId;
    std::string maxTokens;
    std::string request;
    /// Identity of a crashing request.
    std::string identity;
    std::vector<std::string> logFiles;
    bool isStreamed = false;
    bool asJson = false;
};

/// A verb of the command line and the function that runs it.
struct command
{
    const char *name;
    exit_code (*run)(const command_options &options);
};

/// Returns all commands.
const std::vector<command> &commands();

exit_code checkConfigurationFile(const command_options &options);
exit_code showConfigurationDifference(const command_options &options);
exit_code applyConfigurationFile(const command_options &options);
exit_code showConfiguration(const command_options &options);
exit_code showHistory(const command_options &options);
exit_code showStatus(const command_options &options);
exit_code showGroups(const command_options &options);
exit_code showDecisions(const command_options &options);
exit_code printKeyDigest(const command_options &options);
exit_code sendChatRequest(const command_options &options);
exit_code explainRequest(const command_options &options);
exit_code showCrashingRequests(const command_options &options);
exit_code allowCrashingRequest(const command_options &options);
exit_code showEvacuations(const command_options &options);

} // namespace vetchpost
