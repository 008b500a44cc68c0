// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Explain/request_story.h"

#include "Libraries/Base/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace vetchpost {

namespace {

/// What happened to a request's groups so long before it and after it bears on it: the longest that a loss takes to be found and mended.
constexpr std::int64_t millisecondsBefore = 8000;
constexpr std::int64_t millisecondsAfter = 2000;
/// Requests that ended so long before it or after it met the same replica in the same state.
constexpr std::int64_t millisecondsAround = 1000;
/// Fields that are shown apart, or tell nothing.
constexpr std::array<std::string_view, 5> leadingFields = {"ms", "steady_ms", "daemon", "part", "event"};
/// Events of a daemon that bear on all of its requests.
constexpr std::array<std::string_view, 14> daemonEvents = {"started",
                                                           "stopping",
                                                           "stopped",
                                                           "store_lost",
                                                           "store_regained",
                                                           "configuration_in_force",
                                                           "configuration_unreadable",
                                                           "coordination_taken",
                                                           "coordination_lost",
                                                           "source_heard",
                                                           "source_lost",
                                                           "repeats_shared",
                                                           "lines_left_out",
                                                           "settings_read"};

/// The line that names the requests which have no lines of their own.
constexpr std::string_view rollEvent = "roll";
constexpr std::string_view servedOnRoll = "served";
constexpr std::string_view arrivedOnRoll = "arrived";

struct ending
{
    std::string_view event;
    std::string_view meaning;
};

constexpr std::array<ending, 6> endings = {{{"answered", "was answered whole"},
                                            {servedOnRoll, "was served in time by the first replica"},
                                            {"refused", "was refused"},
                                            {"broken_off", "was broken off after its answer had begun"},
                                            {"failure_passed_on", "got the replica's own failure"},
                                            {"caller_left", "was given up by its caller"}}};

std::string shown(const Json::Value &value)
{
    return value.isString() ? value.asString() : toJsonText(value);
}

std::string detailsOf(const Json::Value &json)
{
    std::string details;
    for (const auto &name : json.getMemberNames()) {
        if (std::find(leadingFields.begin(), leadingFields.end(), name) == leadingFields.end()) {
            details += fmt::format("{}{}={}", details.empty() ? "" : " ", name, shown(json[name]));
        }
    }
    return details;
}

/// Whether one of the words is this one.
bool hasWord(const std::string &words, const std::string &word)
{
    return (" " + words + " ").find(" " + word + " ") != std::string::npos;
}

bool isDaemonEvent(const std::string &event)
{
    return std::find(daemonEvents.begin(), daemonEvents.end(), event) != daemonEvents.end();
}

bool namesAny(const std::string &text, const std::set<std::string> &names)
{
    return std::any_of(names.begin(), names.end(), [&](const std::string &name) { return text.find(name) != std::string::npos; });
}

/// Whether a line says that places were closed to the request.
bool tellsOfClosedPlaces(const log_entry &entry)
{
    constexpr std::string_view field = "closed=";
    const auto found = entry.details.find(field);
    return entry.event == "refused" && found != std::string::npos && entry.details.substr(found + field.size(), 1) != " ";
}

std::string verdictOf(const std::vector<log_entry> &lines)
{
    for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
        for (const auto &end : endings) {
            if (line->part == "request" && line->event == end.event) {
                return fmt::format("It {} by {}: {}", end.meaning, line->daemon, line->details);
            }
        }
    }
    return lines.empty() ? std::string() : "No line tells how it ended: its daemon was killed while it held it, or left the line out.";
}

} // namespace

void log_collector::take(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        const auto begin = text.find('{');
        const auto json = begin == std::string::npos ? std::nullopt : parseJson(text.substr(begin));
        if (!json || !json->isObject() || !json->isMember("event")) {
            m_unreadable += text.empty() ? 0 : 1;
            continue;
        }
        collected line;
        line.entry = {static_cast<std::int64_t>(jsonNumber(*json, "ms")),
                      jsonString(*json, "daemon"),
                      jsonString(*json, "part"),
                      jsonString(*json, "event"),
                      detailsOf(*json)};
        line.request = jsonString(*json, "request");
        line.replica = jsonString(*json, "replica");
        line.group = jsonString(*json, "group");
        line.identity = jsonString(*json, "identity");
        line.end = jsonString(*json, line.entry.event == "try_ended" ? "end" : "outcome");
        if (line.entry.event == rollEvent) {
            line.arrived = jsonString(*json, "arrived");
            line.served = jsonString(*json, "served");
        }
        m_lines.push_back(std::move(line));
    }
}

std::optional<log_entry> log_collector::entryOnRoll(const collected &line, const std::string &request)
{
    if (line.entry.event != rollEvent || request.empty()) {
        return std::nullopt;
    }
    const bool isServed = hasWord(line.served, request);
    if (!isServed && !hasWord(line.arrived, request)) {
        return std::nullopt;
    }
    auto entry = line.entry;
    entry.event = isServed ? servedOnRoll : arrivedOnRoll;
    entry.details = isServed ? "within half a second before this line" : "within half a second before this line, and still held";
    return entry;
}

std::vector<std::string>
log_collector::neighboursOf(const std::string &request, const std::set<std::string> &replicas, std::int64_t from, std::int64_t until) const
{
    std::map<std::string, std::map<std::string, int>> counts;
    for (const auto &line : m_lines) {
        const bool isTold = line.entry.event == "try_ended" || line.entry.event == "answered";
        const bool isMeanwhile = line.entry.milliseconds >= from && line.entry.milliseconds <= until;
        if (isTold && isMeanwhile && line.request != request && replicas.contains(line.replica)) {
            ++counts[line.replica][line.end];
        }
    }
    std::vector<std::string> sentences;
    for (const auto &[replica, ends] : counts) {
        std::string list;
        for (const auto &[end, count] : ends) {
            list += fmt::format("{}{} {}", list.empty() ? "" : ", ", count, end);
        }
        sentences.push_back(fmt::format("Of others at {} meanwhile, beside those served in time: {}", replica, list));
    }
    return sentences;
}

bool log_collector::tellsOfSame(const collected &line, const std::set<std::string> &identities)
{
    const bool isEnd = line.entry.event == "try_ended" && line.entry.details.find("replica_found=ended") != std::string::npos;
    return identities.contains(line.identity) && (line.entry.part == "crash" || isEnd);
}

request_story log_collector::storyOf(const std::string &request) const
{
    request_story story;
    story.unreadable = m_unreadable;
    std::set<std::string> places;
    std::set<std::string> replicas;
    std::set<std::string> daemons;
    std::set<std::string> identities;
    std::vector<log_entry> own;
    for (const auto &line : m_lines) {
        if (const auto named = entryOnRoll(line, request)) {
            own.push_back(*named);
            daemons.insert(named->daemon);
        }
        if (line.request != request || request.empty()) {
            continue;
        }
        own.push_back(line.entry);
        daemons.insert(line.entry.daemon);
        if (!line.identity.empty()) {
            identities.insert(line.identity);
        }
        if (!line.replica.empty()) {
            replicas.insert(line.replica);
        }
        for (const auto &place : {line.replica, line.group}) {
            if (!place.empty()) {
                places.insert(place);
            }
        }
    }
    const auto byTime = [](const log_entry &left, const log_entry &right) { return left.milliseconds < right.milliseconds; };
    std::stable_sort(own.begin(), own.end(), byTime);
    const bool hasMetClosed = std::any_of(own.begin(), own.end(), tellsOfClosedPlaces);
    story.verdict = verdictOf(own);
    story.entries = own;
    if (!own.empty()) {
        story.neighbours
            = neighboursOf(request, replicas, own.front().milliseconds - millisecondsAround, own.back().milliseconds + millisecondsAround);
    }
    for (const auto &line : m_lines) {
        const auto &entry = line.entry;
        const bool isNear = !own.empty() && entry.milliseconds >= own.front().milliseconds - millisecondsBefore
            && entry.milliseconds <= own.back().milliseconds + millisecondsAfter;
        const bool bears = (entry.part == "assembly" && namesAny(entry.details, places))
            || (daemons.contains(entry.daemon) && isDaemonEvent(entry.event));
        const bool closes = hasMetClosed && isNear && entry.part == "constraint" && daemons.contains(entry.daemon);
        const bool isSame = line.request != request && tellsOfSame(line, identities);
        if ((line.request.empty() && isNear && bears) || isSame || (closes && line.request != request)) {
            story.entries.push_back(entry);
        }
    }
    std::stable_sort(story.entries.begin(), story.entries.end(), byTime);
    return story;
}

} // namespace vetchpost
