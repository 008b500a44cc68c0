// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Explain/request_timeline.h"
#include "Utilities/vetchpost/commands.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace vetchpost {

exit_code explainRequest(const command_options &options)
{
    log_collector collector;
    for (const auto &path : options.logFiles) {
        std::ifstream log(path);
        if (!log) {
            fmt::print(stderr, "{}: cannot be read\n", path);
            return exit_bad_arguments;
        }
        collector.addLog(log);
    }
    if (options.logFiles.empty()) {
        collector.addLog(std::cin);
    }
    const auto timeline = collector.timelineOf(options.request);
    if (timeline.entries.empty()) {
        fmt::print(stderr, "No log line names the request {} ({} lines could not be read).\n", options.request, timeline.unreadableLines);
        return exit_refused;
    }
    const auto begin = timeline.entries.front().milliseconds;
    for (const auto &entry : timeline.entries) {
        fmt::print("{:>7} ms  {:<20} {:<9} {:<22} {}\n", entry.milliseconds - begin, entry.daemon, entry.part, entry.event, entry.details);
    }
    for (const auto &sentence : timeline.placements) {
        fmt::print("{}\n", sentence);
    }
    for (const auto &sentence : timeline.otherRequests) {
        fmt::print("{}\n", sentence);
    }
    fmt::print("{}\n", timeline.outcomeSummary);
    return exit_done;
}

} // namespace vetchpost
