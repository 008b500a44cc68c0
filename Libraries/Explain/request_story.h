// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Tells what became of one request, from the daemons' logs.
namespace vetchpost {

/// One line of a daemon's log.
struct log_entry
{
    /// Calendar time; daemons' clocks may differ.
    std::int64_t milliseconds = 0;
    std::string daemon;
    std::string part;
    std::string event;
    /// The other fields, as "name=value".
    std::string details;
};

struct request_story
{
    /// All daemons' lines of the request, and those that bear on it: decisions and looks at its replicas and groups, and changes of the
    /// daemons that held it, around its time; and the ends of replicas under the same request by other ids. In the order of time.
    std::vector<log_entry> entries;
    /// What became of it, in a sentence; empty where no line names the request.
    std::string verdict;
    /// How other requests fared at each of its replicas meanwhile, a sentence for each replica; those that were served in time are not
    /// counted.
    std::vector<std::string> neighbours;
    /// Lines that could not be read: cut off, or of another program.
    std::size_t unreadable = 0;
};

/// Collects lines from several logs. Anything before a line's first brace is passed over.
class log_collector
{
public:
    void take(std::istream &log);
    request_story storyOf(const std::string &request) const;

private:
    struct collected
    {
        log_entry entry;
        std::string request;
        std::string replica;
        std::string group;
        /// The same for requests that come again under other ids.
        std::string identity;
        /// How a try ended, or an answer turned out.
        std::string end;
        /// Of a line that names many requests: those that came, and those that were served in time; separated by spaces.
        std::string arrived;
        std::string served;
    };

    /// Whether a line tells of an end of a replica under the same request by another id, or of what followed from such ends.
    static bool tellsOfSame(const collected &line, const std::set<std::string> &identities);
    std::vector<std::string>
    neighboursOf(const std::string &request, const std::set<std::string> &replicas, std::int64_t from, std::int64_t until) const;
    /// What a line says of a request that it names among others; nothing where it does not.
    static std::optional<log_entry> entryOnRoll(const collected &line, const std::string &request);

    std::vector<collected> m_lines;
    std::size_t m_unreadable = 0;
};

} // namespace vetchpost
