// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Reconstructs what happened to one request from the logs of the daemons.
namespace vetchpost {

/// One line of a daemon's log, prepared for printing.
struct log_entry
{
    /// Wall-clock time since the epoch; the clocks of different daemons may differ.
    std::int64_t milliseconds = 0;
    std::string daemon;
    std::string part;
    std::string event;
    /// The remaining fields as "name=value", separated by spaces.
    std::string details;
};

/// What the logs report about one request.
struct request_timeline
{
    /// The lines of all daemons that name the request, and related lines, ordered by time. Related are, around the time of the request:
    /// decisions about its replicas and groups and probes of them, state changes of the daemons that handled it, and, if it was refused
    /// because backends were closed to it, the constraints that those daemons logged; and, at any time, the terminations of replicas that
    /// ran the same request under other ids, with what the daemons concluded from them.
    std::vector<log_entry> entries;
    /// A sentence on how the request ended; empty if no line names the request.
    std::string outcomeSummary;
    /// How dispatchers placed or refused the attempts of the request, or why they did not, one sentence for each attempt that says so.
    std::vector<std::string> placements;
    /// The outcomes of other requests at the replicas of the request in the same period, one sentence for each replica that had any.
    /// Requests that were served in time are not counted.
    std::vector<std::string> otherRequests;
    /// The number of lines that could not be parsed, because they were truncated or written by another program.
    std::size_t unreadableLines = 0;
};

/// Collects the lines of several logs and selects those about one request. Ignores anything before the first brace of a line.
class log_collector
{
public:
    /// Reads a log to its end and adds its lines.
    void addLog(std::istream &log);
    /// Returns the timeline of the request with this id; it has no entries if no line names the request.
    request_timeline timelineOf(const std::string &request) const;

private:
    struct parsed_line
    {
        log_entry entry;
        std::string request;
        std::string replica;
        std::string group;
        /// Keyed digest that a request shares with its retries under other ids.
        std::string identity;
        /// The outcome of an attempt or of an answer.
        std::string outcome;
        /// What a dispatcher answered for an attempt; empty if none was asked.
        std::string dispatch;
        /// Ids of the requests that arrived and of those that were served in time, separated by spaces; empty unless the line is a batch of
        /// request ids.
        std::string arrived;
        std::string served;
    };

    /// Returns whether a line reports that a replica terminated while it ran a request with one of these identities, or what the
    /// daemons concluded from that.
    static bool reportsTermination(const parsed_line &line, const std::set<std::string> &identities);
    /// Returns the outcomes of other requests at these replicas between two times in milliseconds, one sentence for each replica that had
    /// any.
    std::vector<std::string>
    summariseOtherRequests(const std::string &request, const std::set<std::string> &replicas, std::int64_t from, std::int64_t until) const;
    /// Returns an entry for a request that a batch of request ids names; nothing if the line is no batch or does not name the request.
    static std::optional<log_entry> entryFromBatch(const parsed_line &line, const std::string &request);

    std::vector<parsed_line> m_lines;
    std::size_t m_unreadableLines = 0;
};

} // namespace vetchpost
