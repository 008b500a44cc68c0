// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

namespace vetchpost {

enum exit_code { exit_done = 0, exit_refused = 1, exit_bad_arguments = 2, exit_conflict = 3, exit_no_daemon = 4 };

/// The command line's options; empty where not given.
struct command_options
{
    std::string file;
    std::string group;
    std::string key;
    std::string model;
    std::string text;
    std::string daemon;
    std::string callers;
    std::string base;
    std::string author;
    std::string editId;
    std::string tokens;
    std::string request;
    std::string identity;
    std::vector<std::string> logFiles;
    bool isStreamed = false;
    bool asJson = false;
};

struct command
{
    const char *name;
    exit_code (*run)(const command_options &options);
};

/// All commands by their names.
const std::vector<command> &commands();

exit_code checkFile(const command_options &options);
exit_code showDifference(const command_options &options);
exit_code applyFile(const command_options &options);
exit_code showConfiguration(const command_options &options);
exit_code showHistory(const command_options &options);
exit_code showStatus(const command_options &options);
exit_code showGroups(const command_options &options);
exit_code showDecisions(const command_options &options);
exit_code printDigest(const command_options &options);
exit_code askModel(const command_options &options);
exit_code explainRequest(const command_options &options);
exit_code showCrashing(const command_options &options);
exit_code allowCrashing(const command_options &options);

} // namespace vetchpost
