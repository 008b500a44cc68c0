// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/prompt_parts.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

/// Parts of prompts that were at a replica when it terminated, and which of them are refused because they probably crash replicas
/// (docs/design/CRASHING-REQUESTS.md). This is group testing: an attempt is a test of all parts of its prompt. An answer clears them all;
/// the end of a replica has one cause among the parts of the attempts that were there.
namespace vetchpost {

/// How much the end of a replica speaks against a part of an attempt that was lost with it.
constexpr int weakEnd = 1;
/// The replica had begun to answer the attempt, but the part was answered elsewhere not long ago.
constexpr int familiarEnd = 2;
/// The replica had begun to answer the attempt and sent nothing of the answer, as replicas do that crash by it.
constexpr int fullEnd = 4;
/// A part is refused from this weight on: three full ends.
constexpr int weightForRefusal = 3 * fullEnd;
/// From this weight on all daemons know a part, so that any of them can refuse or clear it.
constexpr int weightForSharing = 2 * fullEnd;
/// Ends that follow each other faster have one cause in common, such as a rack that lost power. They count once for a part.
constexpr duration simultaneousEnds(50);
/// The same for ends that name a familiar part: some request with it is at most replicas at any time.
constexpr duration simultaneousFamiliarEnds(500);
constexpr std::size_t maxPartSuspects = 1024;
/// Ends stored and reported for one part; more do not change the decision.
constexpr std::size_t maxEndsPerPart = 12;

/// A part of prompts for one model.
struct part_key
{
    model_id model;
    part_identity part;

    auto operator<=>(const part_key &) const = default;
};

struct part_end
{
    int weight = 0;
    instant at;
    /// A number that differs between requests, of the one that was lost with the replica.
    std::uint64_t request = 0;

    bool operator==(const part_end &) const = default;
};

/// A part that was at a replica when the replica terminated.
struct part_suspect
{
    std::map<replica_end, part_end> ends;
    instant firstEnd;
    instant lastEnd;
    /// Incremented when an answer clears the part or an operator allows it; ends of an earlier round no longer count.
    std::uint64_t round = 0;
    /// The value of part_suspects::changes at the last change of this entry.
    std::uint64_t changed = 0;
};

/// Requests for the model that have all these parts are refused. There are several where no evidence tells them apart: they were together
/// at each end.
struct part_refusal
{
    model_id model;
    std::set<part_identity> parts;
    instant lastEnd;

    bool operator==(const part_refusal &) const = default;
};

struct part_suspects
{
    std::map<part_key, part_suspect> suspects;
    std::uint64_t changes = 0;
    /// By the current evidence; some may have expired since (refusalTime).
    std::vector<part_refusal> refusals;
    /// The ends that the refusals explain.
    std::set<replica_end> explained;
    std::uint64_t evicted = 0;
};

/// One end in a report.
struct reported_end
{
    replica_end end;
    int weight = 0;
    duration age{};
    std::uint64_t request = 0;
};

/// The state of one part as daemons report it to each other.
struct part_report
{
    part_key key;
    std::vector<reported_end> ends;
    std::uint64_t round = 0;
};

// Commands. After any of them assess() decides anew what is refused.

/// Records that a replica terminated while an attempt with the part was there.
void recordPartEnd(part_suspects &table, const part_key &key, replica_end end, const part_end &lost);
/// Clears a part because of an answer that its replica began at \a begunAt. Returns true if the part was suspected and the answer began
/// after its first end.
bool clearPart(part_suspects &table, const part_key &key, instant begunAt);
/// Allows a part for all models, for an operator. Returns true if it was suspected.
bool allowPart(part_suspects &table, const part_identity &part);
/// Merges another daemon's report into the table. Returns true if that changed the table.
bool mergeReport(part_suspects &table, const part_report &report, instant now);
/// Removes suspects without a new end for suspectLifetime.
void expireEntries(part_suspects &table, instant now);
/// Decides which parts are refused: the one that explains the most ends, then the one that explains the most of the rest, and so on; parts
/// that were answered not long before come last. Ends of one and the same request speak against the request (crash_suspects.h), not against
/// a part of it.
void assess(part_suspects &table);

// Queries

/// Returns for how long requests with these parts will still be refused, or nothing if they are not. A part that is refused for one model
/// is refused for others as well, unless \a isSound returns true for it there.
std::optional<duration> refusedFor(const part_suspects &table,
                                   const model_id &model,
                                   const std::set<part_identity> &parts,
                                   const std::function<bool(const part_identity &)> &isSound,
                                   instant now);
/// Whether any end speaks against the part.
bool isSuspected(const part_suspects &table, const part_key &key);
/// The weight of the ends that are recorded for a part.
int weightOf(const part_suspect &suspect);
part_report makeReport(const part_key &key, const part_suspect &suspect, instant now);
/// Returns whether all daemons have to know the part: it may be refused soon, or has been cleared.
bool mustBeShared(const part_suspect &suspect);
/// Returns whether the table's entry is the same as another daemon's report.
bool matchesReport(const part_suspects &table, const part_report &report);

inline const std::map<part_key, part_suspect> &entriesOf(const part_suspects &table)
{
    return table.suspects;
}

inline const part_key &keyOf(const part_report &report)
{
    return report.key;
}

} // namespace vetchpost
