// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/part_suspects.h"

#include <algorithm>

namespace vetchpost {

namespace {

using suspect_entry = std::pair<const part_key, part_suspect>;

void markChanged(part_suspects &table, part_suspect &suspect)
{
    suspect.changed = ++table.changes;
}

/// Evicts the suspect with the least weight, the oldest of these.
void evictOne(part_suspects &table)
{
    const auto rank = [](const suspect_entry &entry) { return std::pair(weightOf(entry.second), entry.second.lastEnd); };
    const auto least = std::min_element(
        table.suspects.begin(), table.suspects.end(), [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
    table.suspects.erase(least);
    ++table.evicted;
}

part_suspect &suspectFor(part_suspects &table, const part_key &key, instant now)
{
    if (!table.suspects.contains(key) && table.suspects.size() >= maxPartSuspects) {
        evictOne(table);
    }
    auto [found, isNew] = table.suspects.try_emplace(key);
    if (isNew) {
        found->second.lastEnd = now;
    }
    return found->second;
}

void addEnd(part_suspect &suspect, replica_end end, const part_end &added)
{
    const auto known = suspect.ends.find(end);
    if (known == suspect.ends.end() && suspect.ends.size() >= maxEndsPerPart) {
        return;
    }
    suspect.firstEnd = suspect.ends.empty() ? added.at : std::min(suspect.firstEnd, added.at);
    auto &entry = suspect.ends[end];
    // Clocks differ by the time that a report takes; the first time that was recorded stays.
    entry.at = known == suspect.ends.end() ? added.at : entry.at;
    if (added.weight > entry.weight) {
        entry.weight = added.weight;
        entry.request = added.request;
    }
}

/// The weight of those ends that nothing explains; ends that follow each other at once count for the heaviest of them.
int unexplainedWeight(const part_suspect &suspect, const std::set<replica_end> &explained)
{
    std::vector<part_end> ends;
    for (const auto &[end, entry] : suspect.ends) {
        if (!explained.contains(end)) {
            ends.push_back(entry);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const part_end &left, const part_end &right) { return left.at < right.at; });
    int sum = 0;
    int counted = 0;
    instant countedAt;
    for (const auto &next : ends) {
        const auto window = next.weight >= fullEnd ? simultaneousEnds : simultaneousFamiliarEnds;
        const bool isSimultaneous = counted > 0 && next.at - countedAt < window;
        if (!isSimultaneous) {
            sum += next.weight;
            counted = next.weight;
            countedAt = next.at;
        } else if (next.weight > counted) {
            sum += next.weight - counted;
            counted = next.weight;
        }
    }
    return sum;
}

std::set<replica_end> unexplainedEnds(const part_suspect &suspect, const std::set<replica_end> &explained)
{
    std::set<replica_end> ends;
    for (const auto &[end, entry] : suspect.ends) {
        if (!explained.contains(end)) {
            ends.insert(end);
        }
    }
    return ends;
}

/// Whether different requests were lost at these ends.
bool hasSeveralRequests(const part_suspect &suspect, const std::set<replica_end> &ends)
{
    std::set<std::uint64_t> requests;
    for (const auto end : ends) {
        requests.insert(suspect.ends.at(end).request);
    }
    return requests.size() > 1;
}

/// Whether the part was answered not long before one of these ends.
bool isFamiliar(const part_suspect &suspect, const std::set<replica_end> &ends)
{
    return std::any_of(ends.begin(), ends.end(), [&](replica_end end) { return suspect.ends.at(end).weight == familiarEnd; });
}

/// The suspect that explains the most, if that is enough for a refusal: one that is not familiar if there is any, then the one with the
/// most unexplained weight. A familiar part is at the ends of all parts that crash replicas, and has the more ends the more of these there
/// are.
const suspect_entry *strongest(const part_suspects &table)
{
    const suspect_entry *chosen = nullptr;
    std::pair<bool, int> best;
    for (const auto &entry : table.suspects) {
        const auto weight = unexplainedWeight(entry.second, table.explained);
        if (weight < weightForRefusal) {
            continue;
        }
        const auto ends = unexplainedEnds(entry.second, table.explained);
        const std::pair rank(!isFamiliar(entry.second, ends), weight);
        if (hasSeveralRequests(entry.second, ends) && (chosen == nullptr || rank > best)) {
            chosen = &entry;
            best = rank;
        }
    }
    return chosen;
}

} // namespace

void recordPartEnd(part_suspects &table, const part_key &key, replica_end end, const part_end &lost)
{
    auto &suspect = suspectFor(table, key, lost.at);
    suspect.lastEnd = std::max(suspect.lastEnd, lost.at);
    addEnd(suspect, end, lost);
    markChanged(table, suspect);
}

bool clearPart(part_suspects &table, const part_key &key, instant begunAt)
{
    const auto found = table.suspects.find(key);
    if (found == table.suspects.end() || found->second.ends.empty() || begunAt <= found->second.firstEnd) {
        return false;
    }
    auto &suspect = found->second;
    ++suspect.round;
    suspect.ends.clear();
    markChanged(table, suspect);
    return true;
}

bool allowPart(part_suspects &table, const part_identity &part)
{
    bool wasSuspected = false;
    for (auto &[key, suspect] : table.suspects) {
        if (key.part == part && !suspect.ends.empty()) {
            wasSuspected = true;
            ++suspect.round;
            suspect.ends.clear();
            markChanged(table, suspect);
        }
    }
    return wasSuspected;
}

bool mergeReport(part_suspects &table, const part_report &report, instant now)
{
    const auto known = table.suspects.find(report.key);
    const bool isOutdated = known != table.suspects.end() && report.round < known->second.round;
    if (isOutdated || report.ends.size() > maxEndsPerPart) {
        return false;
    }
    const bool isNew = known == table.suspects.end();
    auto &suspect = suspectFor(table, report.key, now);
    const auto before = std::pair(suspect.ends, suspect.round);
    if (report.round > suspect.round) {
        suspect.ends.clear();
        suspect.round = report.round;
    }
    for (const auto &end : report.ends) {
        if (end.age < suspectLifetime) {
            addEnd(suspect, end.end, {end.weight, now - end.age, end.request});
            suspect.lastEnd = isNew && suspect.ends.size() == 1 ? now - end.age : std::max(suspect.lastEnd, now - end.age);
        }
    }
    const bool hasChanged = isNew || before != std::pair(suspect.ends, suspect.round);
    if (hasChanged) {
        markChanged(table, suspect);
    }
    return hasChanged;
}

void expireEntries(part_suspects &table, instant now)
{
    std::erase_if(table.suspects, [&](const auto &entry) { return now - entry.second.lastEnd >= suspectLifetime; });
}

void assess(part_suspects &table)
{
    table.refusals.clear();
    table.explained.clear();
    for (const auto *next = strongest(table); next != nullptr; next = strongest(table)) {
        const auto ends = unexplainedEnds(next->second, table.explained);
        part_refusal refusal{next->first.model, {}, next->second.lastEnd};
        for (const auto &[key, suspect] : table.suspects) {
            const bool isAlike = key.model == refusal.model && unexplainedEnds(suspect, table.explained) == ends
                && unexplainedWeight(suspect, table.explained) >= weightForRefusal;
            if (isAlike) {
                refusal.parts.insert(key.part);
            }
        }
        table.explained.insert(ends.begin(), ends.end());
        table.refusals.push_back(std::move(refusal));
    }
}

std::optional<duration> refusedFor(const part_suspects &table,
                                   const model_id &model,
                                   const std::set<part_identity> &parts,
                                   const std::function<bool(const part_identity &)> &isSound,
                                   instant now)
{
    std::optional<duration> longest;
    for (const auto &refusal : table.refusals) {
        const auto left = refusal.lastEnd + refusalTime - now;
        const bool isMet = left > duration() && std::includes(parts.begin(), parts.end(), refusal.parts.begin(), refusal.parts.end());
        const bool isElsewhere = refusal.model != model;
        if (isMet && !(isElsewhere && std::any_of(refusal.parts.begin(), refusal.parts.end(), isSound))) {
            longest = std::max(longest.value_or(left), left);
        }
    }
    return longest;
}

bool isSuspected(const part_suspects &table, const part_key &key)
{
    const auto found = table.suspects.find(key);
    return found != table.suspects.end() && !found->second.ends.empty();
}

int weightOf(const part_suspect &suspect)
{
    return unexplainedWeight(suspect, {});
}

part_report makeReport(const part_key &key, const part_suspect &suspect, instant now)
{
    part_report report{key, {}, suspect.round};
    for (const auto &[end, entry] : suspect.ends) {
        report.ends.push_back({end, entry.weight, std::max(duration(), now - entry.at), entry.request});
    }
    return report;
}

bool mustBeShared(const part_suspect &suspect)
{
    return weightOf(suspect) >= weightForSharing || suspect.round > 0;
}

bool matchesReport(const part_suspects &table, const part_report &report)
{
    const auto known = table.suspects.find(report.key);
    if (known == table.suspects.end() || known->second.round != report.round || known->second.ends.size() != report.ends.size()) {
        return false;
    }
    return std::all_of(report.ends.begin(), report.ends.end(), [&](const reported_end &reported) {
        const auto end = known->second.ends.find(reported.end);
        return end != known->second.ends.end() && end->second.weight == reported.weight;
    });
}

} // namespace vetchpost
