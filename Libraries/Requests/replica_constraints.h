// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Requests/replica_notice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Limits that replicas have announced for the load that they accept, by incarnation (docs/design/REPLICA-CONSTRAINTS.md). A rate limit and
/// a departure apply to all daemons, a backoff to the daemon that received it.
namespace vetchpost {

/// One incarnation of one replica. A constraint applies to this incarnation alone, independent of the groups that the replica belongs to.
struct replica_key
{
    instance_id replica;
    replica_incarnation incarnation;

    auto operator<=>(const replica_key &) const = default;
};

/// The announced constraints of one replica.
struct replica_constraint
{
    /// Requests per second from all daemons together; nothing if the replica has no limit.
    std::optional<double> rateLimit;
    /// When the replica last announced the limit, or answered without one.
    instant rateReportedAt;
    /// This daemon sends nothing to the replica before this time.
    instant backoffUntil;
    bool isLeaving = false;
    /// When the entry was last updated.
    instant updatedAt;
    /// The value of replica_constraints::changes at the last change of this entry that all daemons have to know; 0 if there was none.
    std::uint64_t changed = 0;
};

struct replica_constraints
{
    std::map<replica_key, replica_constraint> entries;
    /// Number of changes so far that all daemons have to know.
    std::uint64_t changes = 0;
};

/// An entry without an update for this long is removed: the replica has terminated, or no daemon has sent it a request.
constexpr duration constraintLifetime(600000);
/// The lifetime of an entry of a leaving replica. A departure applies to the rest of the incarnation, however long the replica takes to
/// terminate, but the entry of a terminated replica must be removed at some time.
constexpr duration departureLifetime(86400000);

/// The parts of a replica's constraints that an answer changed.
struct constraint_change
{
    bool hasLimit = false;
    bool hasBackoff = false;
    bool isLeaving = false;

    bool isAny() const
    {
        return hasLimit || hasBackoff || isLeaving;
    }
};

/// Applies the notice in a replica's answer to this daemon. Returns what it changed.
constraint_change applyNotice(replica_constraints &table, const replica_key &replica, const replica_notice &notice, instant now);
/// Records that \a replicas are leaving, as their entries say. Returns true if that was new for any of them.
bool recordDepartures(replica_constraints &table, const std::vector<replica_key> &replicas, instant now);
/// Removes entries without an update for their lifetime.
void expireEntries(replica_constraints &table, instant now);

/// The constraints of one replica as daemons report them to each other.
struct constraint_report
{
    replica_key replica;
    std::optional<double> rateLimit;
    /// Time since the replica last announced the limit, or answered without one; constraintLifetime if it did neither.
    duration rateAge{};
    bool isLeaving = false;
};

/// Merges another daemon's report into the table. Of two statements on a limit the later one applies; if the report holds an earlier one
/// that differs, the entry is marked as changed so that the later one is sent again. Returns true if the report changed the entry.
bool mergeReport(replica_constraints &table, const constraint_report &report, instant now);
constraint_report makeReport(const replica_key &replica, const replica_constraint &constraint, instant now);
/// Returns whether other daemons have to know the constraint.
bool mustBeShared(const replica_constraint &constraint);
/// Returns whether the table's entry is the same as a report.
bool matchesReport(const replica_constraints &table, const constraint_report &report);

inline const std::map<replica_key, replica_constraint> &entriesOf(const replica_constraints &table)
{
    return table.entries;
}

inline const replica_key &keyOf(const constraint_report &report)
{
    return report.replica;
}

/// Returns the constraints of a replica, or nullptr if it has none.
const replica_constraint *findConstraint(const replica_constraints &table, const replica_key &replica);

} // namespace vetchpost
