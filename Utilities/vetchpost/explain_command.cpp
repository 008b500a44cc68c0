// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Explain/request_story.h"
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
        collector.take(log);
    }
    if (options.logFiles.empty()) {
        collector.take(std::cin);
    }
    const auto story = collector.storyOf(options.request);
    if (story.entries.empty()) {
        fmt::print(stderr, "No line names the request {} ({} lines could not be read).\n", options.request, story.unreadable);
        return exit_refused;
    }
    const auto begin = story.entries.front().milliseconds;
    for (const auto &entry : story.entries) {
        fmt::print("{:>7} ms  {:<20} {:<9} {:<22} {}\n", entry.milliseconds - begin, entry.daemon, entry.part, entry.event, entry.details);
    }
    for (const auto &sentence : story.neighbours) {
        fmt::print("{}\n", sentence);
    }
    fmt::print("{}\n", story.verdict);
    return exit_done;
}

} // namespace vetchpost
