// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/request_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Requests that were at a replica when it terminated, and which of them are refused because they probably crash replicas
/// (docs/design/CRASHING-REQUESTS.md).
namespace vetchpost {

/// Identifies one termination of one replica; the same for all requests that were at the replica.
using replica_end = sequence<struct replica_end_tag>;

/// A request is refused once this many replicas have terminated while it was there. With fewer, requests that ran beside the cause once or
/// twice would be refused as well.
constexpr std::size_t endsForRefusal = 3;
/// How long a request is refused after the last termination. The model or the replica may have been fixed by then; another termination
/// renews the refusal.
constexpr duration refusalTime(600000);
/// A suspect without a new termination for this long is removed.
constexpr duration suspectLifetime(3600000);
/// The capacity of the table. When it is full, the organisation with the most suspects loses the one with the fewest terminations, the
/// oldest of these first.
constexpr std::size_t maxSuspects = 1024;
/// Terminations stored and reported for one request; more do not change the decision.
constexpr std::size_t maxEndsPerSuspect = 6;

/// A request that was at a replica when the replica terminated.
struct crash_suspect
{
    organisation_id organisation;
    std::set<replica_end> ends;
    instant lastEnd;
    /// Incremented when the request is answered completely or an operator allows it again; terminations of an earlier round no longer
    /// count.
    std::uint64_t round = 0;
    /// The value of crash_suspects::changes at the last change of this entry.
    std::uint64_t changed = 0;
};

struct crash_suspects
{
    std::map<request_identity, crash_suspect> suspects;
    /// Number of changes to the table so far.
    std::uint64_t changes = 0;
    /// Ends that a part of prompts explains (part_suspects.h); they count against no request.
    std::set<replica_end> explained;
    /// Requests to refuse by the current evidence; some of them may have expired since (refusalTime).
    std::set<request_identity> refused;
    /// Number of suspects evicted because the table was full.
    std::uint64_t evicted = 0;
};

/// The state of one suspect as daemons report it to each other.
struct suspect_report
{
    request_identity request;
    organisation_id organisation;
    std::vector<replica_end> ends;
    std::uint64_t round = 0;
    /// Time since the last termination.
    duration age{};
};

/// Returns the id of the termination of one incarnation of a replica, which is the same at every daemon.
replica_end replicaEndOf(const std::string &replica, std::uint64_t incarnation);

/// Records that a replica terminated while the request was there.
void recordReplicaEnd(
    crash_suspects &table, const request_identity &request, const organisation_id &organisation, replica_end end, instant now);
/// Clears a request of suspicion because it was answered completely, which a request that crashes replicas never is, or because an operator
/// allows it. Returns true if it was suspected.
bool clearSuspect(crash_suspects &table, const request_identity &request);
/// Sets which ends a part of prompts explains.
void setExplained(crash_suspects &table, const std::set<replica_end> &ends);
/// Merges another daemon's report into the table. Returns true if that changed the table.
bool mergeReport(crash_suspects &table, const suspect_report &report, instant now);
/// Removes suspects without a termination for suspectLifetime.
void expireEntries(crash_suspects &table, instant now);

bool isRefused(const crash_suspects &table, const request_identity &request, instant now);
/// Returns for how long the request will still be refused, or nothing if it is not.
std::optional<duration> refusedFor(const crash_suspects &table, const request_identity &request, instant now);

suspect_report makeReport(const request_identity &request, const crash_suspect &suspect, instant now);
/// Returns whether all daemons have to know the suspect: one more termination would cause a refusal, or it has been cleared.
bool mustBeShared(const crash_suspect &suspect);
/// Returns whether the table's entry is the same as another daemon's report.
bool matchesReport(const crash_suspects &table, const suspect_report &report);

inline const std::map<request_identity, crash_suspect> &entriesOf(const crash_suspects &table)
{
    return table.suspects;
}

inline const request_identity &keyOf(const suspect_report &report)
{
    return report.request;
}

} // namespace vetchpost
