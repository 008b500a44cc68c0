// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/crash_suspects.h"

#include "Libraries/Base/digest.h"

#include <algorithm>

namespace vetchpost {

namespace {

std::size_t unexplainedEnds(const crash_suspect &suspect, const std::set<replica_end> &explained)
{
    return static_cast<std::size_t>(
        std::count_if(suspect.ends.begin(), suspect.ends.end(), [&](replica_end end) { return !explained.contains(end); }));
}

// Most of what was at a replica that ended only ran beside the cause, and a queue that moves from replica to replica is beside it again and
// again. An end needs one cause: what a refused request explains counts against nobody else. The one with the most ends comes first; where
// two share all of theirs one of them is refused, and if it was the wrong one, the next end tells them apart.
void decideRefused(crash_suspects &table)
{
    using entry = std::pair<const request_identity, crash_suspect>;
    std::vector<const entry *> candidates;
    for (const auto &suspect : table.suspects) {
        if (suspect.second.ends.size() >= endsBeforeRefusal) {
            candidates.push_back(&suspect);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const entry *left, const entry *right) {
        return left->second.ends.size() > right->second.ends.size();
    });
    std::set<replica_end> explained;
    table.refused.clear();
    for (const auto *candidate : candidates) {
        if (unexplainedEnds(candidate->second, explained) >= endsBeforeRefusal) {
            table.refused.insert(candidate->first);
            explained.insert(candidate->second.ends.begin(), candidate->second.ends.end());
        }
    }
}

void noteChange(crash_suspects &table, crash_suspect &suspect)
{
    suspect.changed = ++table.changes;
}

/// Of the organisation with the most suspects the one with the fewest ends, of these the oldest: a caller with many requests that crash
/// drives out no other's.
void dropOne(crash_suspects &table)
{
    std::map<organisation_id, std::size_t> counts;
    for (const auto &[request, suspect] : table.suspects) {
        ++counts[suspect.organisation];
    }
    const auto most
        = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    auto chosen = table.suspects.end();
    for (auto next = table.suspects.begin(); next != table.suspects.end(); ++next) {
        const auto rank = [](const auto &place) { return std::pair(place->second.ends.size(), place->second.lastEnd); };
        if (next->second.organisation == most->first && (chosen == table.suspects.end() || rank(next) < rank(chosen))) {
            chosen = next;
        }
    }
    table.suspects.erase(chosen);
    ++table.dropped;
}

crash_suspect &suspectFor(crash_suspects &table, const request_identity &request, const organisation_id &organisation, instant now)
{
    if (!table.suspects.contains(request) && table.suspects.size() >= mostSuspects) {
        dropOne(table);
    }
    auto [found, isNew] = table.suspects.try_emplace(request);
    if (isNew) {
        found->second.organisation = organisation;
        found->second.lastEnd = now;
    }
    return found->second;
}

} // namespace

replica_end endOf(const std::string &replica, std::uint64_t life)
{
    return replica_end(hashOf(replica, life));
}

void noteEnd(crash_suspects &table, const request_identity &request, const organisation_id &organisation, replica_end end, instant now)
{
    auto &suspect = suspectFor(table, request, organisation, now);
    suspect.lastEnd = now;
    if (suspect.ends.size() < mostEndsKept) {
        suspect.ends.insert(end);
    }
    noteChange(table, suspect);
    decideRefused(table);
}

bool noteAnswered(crash_suspects &table, const request_identity &request)
{
    const auto found = table.suspects.find(request);
    if (found == table.suspects.end() || found->second.ends.empty()) {
        return false;
    }
    auto &suspect = found->second;
    ++suspect.round;
    suspect.ends.clear();
    noteChange(table, suspect);
    decideRefused(table);
    return true;
}

bool takeEvidence(crash_suspects &table, const crash_evidence &evidence, instant now)
{
    const auto known = table.suspects.find(evidence.request);
    const bool isOutdated = known != table.suspects.end() && evidence.round < known->second.round;
    const bool isOld = evidence.age >= suspicionLifetime;
    if (isOutdated || isOld || evidence.ends.size() > mostEndsKept) {
        return false;
    }
    auto &suspect = suspectFor(table, evidence.request, evidence.organisation, now - evidence.age);
    const auto before = std::pair(suspect.ends, suspect.round);
    if (evidence.round > suspect.round) {
        suspect.ends.clear();
        suspect.round = evidence.round;
    }
    for (const auto end : evidence.ends) {
        if (suspect.ends.size() < mostEndsKept) {
            suspect.ends.insert(end);
        }
    }
    suspect.lastEnd = std::max(suspect.lastEnd, now - evidence.age);
    const bool isNews = known == table.suspects.end() || before != std::pair(suspect.ends, suspect.round);
    if (isNews) {
        noteChange(table, suspect);
        decideRefused(table);
    }
    return isNews;
}

void forgetOld(crash_suspects &table, instant now)
{
    const auto forgotten
        = std::erase_if(table.suspects, [&](const auto &entry) { return now - entry.second.lastEnd >= suspicionLifetime; });
    if (forgotten > 0) {
        decideRefused(table);
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

crash_evidence evidenceOf(const request_identity &request, const crash_suspect &suspect, instant now)
{
    return {request, suspect.organisation, {suspect.ends.begin(), suspect.ends.end()}, suspect.round, now - suspect.lastEnd};
}

bool concernsAll(const crash_suspect &suspect)
{
    return suspect.ends.size() + 1 >= endsBeforeRefusal || suspect.round > 0;
}

bool isAsTold(const crash_suspects &table, const crash_evidence &evidence)
{
    const auto known = table.suspects.find(evidence.request);
    return known != table.suspects.end() && known->second.round == evidence.round
        && known->second.ends == std::set<replica_end>(evidence.ends.begin(), evidence.ends.end());
}

} // namespace vetchpost
