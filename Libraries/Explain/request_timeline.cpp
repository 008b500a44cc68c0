// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Explain/request_timeline.h"

#include "Libraries/Base/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace vetchpost {

namespace {

/// Events of the request's groups and daemons are included this long before its first line and after its last one: the longest time in
/// which a loss is detected and repaired.
constexpr std::int64_t contextMillisecondsBefore = 8000;
constexpr std::int64_t contextMillisecondsAfter = 2000;
/// Other requests that ended at a replica this long before or after the request found the replica in the same state.
constexpr std::int64_t sameStateMilliseconds = 1000;
/// Fields left out of the details because they are printed in columns of their own or add nothing.
constexpr std::array<std::string_view, 5> omittedFields = {"ms", "steady_ms", "daemon", "part", "event"};
/// Events of a daemon that affect all of its requests.
constexpr std::array<std::string_view, 19> daemonEvents = {"started",
                                                           "stopping",
                                                           "stopped",
                                                           "store_lost",
                                                           "store_regained",
                                                           "configuration_in_force",
                                                           "configuration_unreadable",
                                                           "evacuation_began",
                                                           "evacuation_ended",
                                                           "coordination_taken",
                                                           "coordination_lost",
                                                           "source_heard",
                                                           "source_lost",
                                                           "repeats_shared",
                                                           "lines_left_out",
                                                           "settings_read",
                                                           "dispatchers_named",
                                                           "dispatcher_silent",
                                                           "dispatcher_back"};

/// Event of the line that holds a batch of request ids, for requests that have no lines of their own.
constexpr std::string_view batchEvent = "roll";
constexpr std::string_view servedInBatch = "served";
constexpr std::string_view arrivedInBatch = "arrived";

/// A log event that ends a request, and its description for the operator.
struct final_event
{
    std::string_view event;
    std::string_view description;
};

constexpr std::array<final_event, 6> finalEvents = {{{"answered", "was answered completely"},
                                                     {servedInBatch, "was served in time by the first replica"},
                                                     {"refused", "was refused"},
                                                     {"broken_off", "was broken off after its response had begun"},
                                                     {"failure_passed_on", "received the replica's own error response"},
                                                     {"caller_left", "was given up by its caller"}}};

std::string fieldText(const Json::Value &value)
{
    return value.isString() ? value.asString() : toJsonText(value);
}

std::string formatDetails(const Json::Value &json)
{
    std::string details;
    for (const auto &name : json.getMemberNames()) {
        if (std::find(omittedFields.begin(), omittedFields.end(), name) == omittedFields.end()) {
            details += fmt::format("{}{}={}", details.empty() ? "" : " ", name, fieldText(json[name]));
        }
    }
    return details;
}

/// Returns whether a list of words, separated by spaces, contains this word.
bool hasWord(const std::string &words, const std::string &word)
{
    return (" " + words + " ").find(" " + word + " ") != std::string::npos;
}

bool isDaemonEvent(const std::string &event)
{
    return std::find(daemonEvents.begin(), daemonEvents.end(), event) != daemonEvents.end();
}

bool containsAny(const std::string &text, const std::set<std::string> &names)
{
    return std::any_of(names.begin(), names.end(), [&](const std::string &name) { return text.find(name) != std::string::npos; });
}

/// Returns whether a line is a refusal that lists backends as closed to the request.
bool reportsClosedBackends(const log_entry &entry)
{
    constexpr std::string_view field = "closed=";
    const auto found = entry.details.find(field);
    return entry.event == "refused" && found != std::string::npos && entry.details.substr(found + field.size(), 1) != " ";
}

bool containsText(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// Describes what a dispatcher's answer meant for an attempt.
std::string describePlacement(const std::string &dispatch, const std::string &replica)
{
    if (containsText(dispatch, ": refused")) {
        return fmt::format("A dispatcher refused the request, because it expected no slot in time ({})", dispatch);
    }
    if (containsText(dispatch, ": granted") && !containsText(dispatch, "not used")) {
        return fmt::format("A dispatcher placed an attempt{} ({})", replica.empty() ? "" : " at " + replica, dispatch);
    }
    return fmt::format("An attempt was placed without a dispatcher ({})", dispatch);
}

std::string summariseOutcome(const std::vector<log_entry> &lines)
{
    for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
        for (const auto &finalEvent : finalEvents) {
            if (line->part == "request" && line->event == finalEvent.event) {
                return fmt::format("The request {} (logged by {}): {}", finalEvent.description, line->daemon, line->details);
            }
        }
    }
    return lines.empty() ? std::string()
                         : "No log line reports the outcome: the daemon was killed while it handled the request, or dropped the line.";
}

} // namespace

void log_collector::addLog(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        const auto begin = text.find('{');
        const auto json = begin == std::string::npos ? std::nullopt : parseJson(text.substr(begin));
        if (!json || !json->isObject() || !json->isMember("event")) {
            m_unreadableLines += text.empty() ? 0 : 1;
            continue;
        }
        parsed_line line;
        line.entry = {static_cast<std::int64_t>(jsonNumber(*json, "ms")),
                      jsonString(*json, "daemon"),
                      jsonString(*json, "part"),
                      jsonString(*json, "event"),
                      formatDetails(*json)};
        line.request = jsonString(*json, "request");
        line.replica = jsonString(*json, "replica");
        line.group = jsonString(*json, "group");
        line.identity = jsonString(*json, "identity");
        line.dispatch = jsonString(*json, "dispatch");
        line.outcome = jsonString(*json, line.entry.event == "try_ended" ? "end" : "outcome");
        if (line.entry.event == batchEvent) {
            line.arrived = jsonString(*json, "arrived");
            line.served = jsonString(*json, "served");
        }
        m_lines.push_back(std::move(line));
    }
}

std::optional<log_entry> log_collector::entryFromBatch(const parsed_line &line, const std::string &request)
{
    if (line.entry.event != batchEvent || request.empty()) {
        return std::nullopt;
    }
    const bool isServed = hasWord(line.served, request);
    if (!isServed && !hasWord(line.arrived, request)) {
        return std::nullopt;
    }
    auto entry = line.entry;
    entry.event = isServed ? servedInBatch : arrivedInBatch;
    entry.details = isServed ? "within half a second before this line" : "within half a second before this line, and still in flight";
    return entry;
}

std::vector<std::string> log_collector::summariseOtherRequests(const std::string &request,
                                                               const std::set<std::string> &replicas,
                                                               std::int64_t from,
                                                               std::int64_t until) const
{
    std::map<std::string, std::map<std::string, int>> counts;
    for (const auto &line : m_lines) {
        const bool hasOutcome = line.entry.event == "try_ended" || line.entry.event == "answered";
        const bool isInPeriod = line.entry.milliseconds >= from && line.entry.milliseconds <= until;
        if (hasOutcome && isInPeriod && line.request != request && replicas.contains(line.replica)) {
            ++counts[line.replica][line.outcome];
        }
    }
    std::vector<std::string> sentences;
    for (const auto &[replica, outcomes] : counts) {
        std::string list;
        for (const auto &[outcome, count] : outcomes) {
            list += fmt::format("{}{} {}", list.empty() ? "" : ", ", count, outcome);
        }
        sentences.push_back(fmt::format("Other requests at {} in the same period, except those served in time: {}", replica, list));
    }
    return sentences;
}

bool log_collector::reportsTermination(const parsed_line &line, const std::set<std::string> &identities)
{
    const bool isEnd = line.entry.event == "try_ended" && line.entry.details.find("replica_found=ended") != std::string::npos;
    return identities.contains(line.identity) && (line.entry.part == "crash" || isEnd);
}

request_timeline log_collector::timelineOf(const std::string &request) const
{
    request_timeline timeline;
    timeline.unreadableLines = m_unreadableLines;
    std::set<std::string> relatedIds;
    std::set<std::string> replicas;
    std::set<std::string> daemons;
    std::set<std::string> identities;
    std::vector<log_entry> ownEntries;
    std::string lastDispatch;
    for (const auto &line : m_lines) {
        if (const auto batchEntry = entryFromBatch(line, request)) {
            ownEntries.push_back(*batchEntry);
            daemons.insert(batchEntry->daemon);
        }
        if (line.request != request || request.empty()) {
            continue;
        }
        ownEntries.push_back(line.entry);
        daemons.insert(line.entry.daemon);
        // The line on the end of the request repeats the answer for its last attempt.
        if (!line.dispatch.empty() && line.dispatch != lastDispatch) {
            timeline.placements.push_back(describePlacement(line.dispatch, line.replica));
            lastDispatch = line.dispatch;
        }
        if (!line.identity.empty()) {
            identities.insert(line.identity);
        }
        if (!line.replica.empty()) {
            replicas.insert(line.replica);
        }
        for (const auto &id : {line.replica, line.group}) {
            if (!id.empty()) {
                relatedIds.insert(id);
            }
        }
    }
    const auto byTime = [](const log_entry &left, const log_entry &right) { return left.milliseconds < right.milliseconds; };
    std::stable_sort(ownEntries.begin(), ownEntries.end(), byTime);
    const bool hasClosedBackends = std::any_of(ownEntries.begin(), ownEntries.end(), reportsClosedBackends);
    timeline.outcomeSummary = summariseOutcome(ownEntries);
    timeline.entries = ownEntries;
    if (!ownEntries.empty()) {
        timeline.otherRequests = summariseOtherRequests(request,
                                                        replicas,
                                                        ownEntries.front().milliseconds - sameStateMilliseconds,
                                                        ownEntries.back().milliseconds + sameStateMilliseconds);
    }
    for (const auto &line : m_lines) {
        const auto &entry = line.entry;
        const bool isInContext = !ownEntries.empty() && entry.milliseconds >= ownEntries.front().milliseconds - contextMillisecondsBefore
            && entry.milliseconds <= ownEntries.back().milliseconds + contextMillisecondsAfter;
        const bool isRelated = (entry.part == "assembly" && containsAny(entry.details, relatedIds))
            || (daemons.contains(entry.daemon) && isDaemonEvent(entry.event));
        const bool isConstraint = hasClosedBackends && isInContext && entry.part == "constraint" && daemons.contains(entry.daemon);
        const bool isTermination = line.request != request && reportsTermination(line, identities);
        if ((line.request.empty() && isInContext && isRelated) || isTermination || (isConstraint && line.request != request)) {
            timeline.entries.push_back(entry);
        }
    }
    std::stable_sort(timeline.entries.begin(), timeline.entries.end(), byTime);
    return timeline;
}

} // namespace vetchpost
