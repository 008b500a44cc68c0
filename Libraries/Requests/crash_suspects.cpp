// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/crash_suspects.h"

#include "Libraries/Base/digest.h"

#include <algorithm>

namespace vetchpost {

namespace {

std::size_t countUnexplainedEnds(const crash_suspect &suspect, const std::set<replica_end> &explained)
{
    return static_cast<std::size_t>(
        std::count_if(suspect.ends.begin(), suspect.ends.end(), [&](replica_end end) { return !explained.contains(end); }));
}

// Most requests at a replica that terminated only ran beside the cause, and requests that move together from replica to replica run beside
// it repeatedly. A termination has one cause: if a refused request explains it, it counts against no other. The request with the most
// terminations is considered first. If two requests share all of theirs, one of them is refused; if that is the wrong one, the next
// termination separates them.
void updateRefused(crash_suspects &table)
{
    using entry = std::pair<const request_identity, crash_suspect>;
    std::vector<const entry *> candidates;
    for (const auto &suspect : table.suspects) {
        if (suspect.second.ends.size() >= endsForRefusal) {
            candidates.push_back(&suspect);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const entry *left, const entry *right) {
        return left->second.ends.size() > right->second.ends.size();
    });
    auto explained = table.explained;
    table.refused.clear();
    for (const auto *candidate : candidates) {
        if (countUnexplainedEnds(candidate->second, explained) >= endsForRefusal) {
            table.refused.insert(candidate->first);
            explained.insert(candidate->second.ends.begin(), candidate->second.ends.end());
        }
    }
}

void markChanged(crash_suspects &table, crash_suspect &suspect)
{
    suspect.changed = ++table.changes;
}

/// Evicts the suspect with the fewest terminations, the oldest of these, of the organisation with the most suspects, so that a client with
/// many crashing requests does not displace the suspects of others.
void evictOne(crash_suspects &table)
{
    std::map<organisation_id, std::size_t> counts;
    for (const auto &[request, suspect] : table.suspects) {
        ++counts[suspect.organisation];
    }
    const auto most
        = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    auto chosen = table.suspects.end();
    for (auto next = table.suspects.begin(); next != table.suspects.end(); ++next) {
        const auto rank = [](const auto &position) { return std::pair(position->second.ends.size(), position->second.lastEnd); };
        if (next->second.organisation == most->first && (chosen == table.suspects.end() || rank(next) < rank(chosen))) {
            chosen = next;
        }
    }
    table.suspects.erase(chosen);
    ++table.evicted;
}

crash_suspect &suspectFor(crash_suspects &table, const request_identity &request, const organisation_id &organisation, instant now)
{
    if (!table.suspects.contains(request) && table.suspects.size() >= maxSuspects) {
        evictOne(table);
    }
    auto [found, isNew] = table.suspects.try_emplace(request);
    if (isNew) {
        found->second.organisation = organisation;
        found->second.lastEnd = now;
    }
    return found->second;
}

} // namespace

replica_end replicaEndOf(const std::string &replica, std::uint64_t incarnation)
{
    return replica_end(hashOf(replica, incarnation));
}

void recordReplicaEnd(
    crash_suspects &table, const request_identity &request, const organisation_id &organisation, replica_end end, instant now)
{
    auto &suspect = suspectFor(table, request, organisation, now);
    suspect.lastEnd = now;
    if (suspect.ends.size() < maxEndsPerSuspect) {
        suspect.ends.insert(end);
    }
    markChanged(table, suspect);
    updateRefused(table);
}

bool clearSuspect(crash_suspects &table, const request_identity &request)
{
    const auto found = table.suspects.find(request);
    if (found == table.suspects.end() || found->second.ends.empty()) {
        return false;
    }
    auto &suspect = found->second;
    ++suspect.round;
    suspect.ends.clear();
    markChanged(table, suspect);
    updateRefused(table);
    return true;
}

void setExplained(crash_suspects &table, const std::set<replica_end> &ends)
{
    if (table.explained != ends) {
        table.explained = ends;
        updateRefused(table);
    }
}

bool mergeReport(crash_suspects &table, const suspect_report &report, instant now)
{
    const auto known = table.suspects.find(report.request);
    const bool isOutdated = known != table.suspects.end() && report.round < known->second.round;
    const bool isExpired = report.age >= suspectLifetime;
    if (isOutdated || isExpired || report.ends.size() > maxEndsPerSuspect) {
        return false;
    }
    auto &suspect = suspectFor(table, report.request, report.organisation, now - report.age);
    const auto before = std::pair(suspect.ends, suspect.round);
    if (report.round > suspect.round) {
        suspect.ends.clear();
        suspect.round = report.round;
    }
    for (const auto end : report.ends) {
        if (suspect.ends.size() < maxEndsPerSuspect) {
            suspect.ends.insert(end);
        }
    }
    suspect.lastEnd = std::max(suspect.lastEnd, now - report.age);
    const bool hasChanged = known == table.suspects.end() || before != std::pair(suspect.ends, suspect.round);
    if (hasChanged) {
        markChanged(table, suspect);
        updateRefused(table);
    }
    return hasChanged;
}

void expireEntries(crash_suspects &table, instant now)
{
    const auto expired = std::erase_if(table.suspects, [&](const auto &entry) { return now - entry.second.lastEnd >= suspectLifetime; });
    if (expired > 0) {
        updateRefused(table);
    }
}

std::optional<duration> refusedFor(const crash_suspects &table, const request_identity &request, instant now)
{
    if (!table.refused.contains(request)) {
        return std::nullopt;
    }
    const auto left = table.suspects.at(request).lastEnd + refusalTime - now;
    return left > duration() ? std::optional(left) : std::nullopt;
}

bool isRefused(const crash_suspects &table, const request_identity &request, instant now)
{
    return refusedFor(table, request, now).has_value();
}

suspect_report makeReport(const request_identity &request, const crash_suspect &suspect, instant now)
{
    return {request, suspect.organisation, {suspect.ends.begin(), suspect.ends.end()}, suspect.round, now - suspect.lastEnd};
}

bool mustBeShared(const crash_suspect &suspect)
{
    return suspect.ends.size() + 1 >= endsForRefusal || suspect.round > 0;
}

bool matchesReport(const crash_suspects &table, const suspect_report &report)
{
    const auto known = table.suspects.find(report.request);
    return known != table.suspects.end() && known->second.round == report.round
        && known->second.ends == std::set<replica_end>(report.ends.begin(), report.ends.end());
}

} // namespace vetchpost
