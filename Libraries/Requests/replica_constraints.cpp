// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_constraints.h"

#include <algorithm>

namespace vetchpost {

namespace {

void markChanged(replica_constraints &table, replica_constraint &constraint)
{
    constraint.changed = ++table.changes;
}

/// Returns true if the value of the limit has changed.
bool updateLimit(replica_constraints &table, replica_constraint &constraint, std::optional<double> limit, instant reportedAt)
{
    constraint.rateReportedAt = std::max(constraint.rateReportedAt, reportedAt);
    if (constraint.rateLimit == limit) {
        return false;
    }
    constraint.rateLimit = limit;
    markChanged(table, constraint);
    return true;
}

} // namespace

constraint_change applyNotice(replica_constraints &table, const replica_key &replica, const replica_notice &notice, instant now)
{
    const bool hasNoConstraint = !notice.rateLimit && !notice.backoff && !notice.isLeaving;
    if (hasNoConstraint && !table.entries.contains(replica)) {
        return {};
    }
    auto &constraint = table.entries[replica];
    constraint.updatedAt = now;
    constraint_change change;
    if (notice.rateLimit || notice.isExhaustive) {
        change.hasLimit = updateLimit(table, constraint, notice.rateLimit, now);
    }
    if (notice.backoff) {
        change.hasBackoff = now >= constraint.backoffUntil;
        constraint.backoffUntil = std::max(constraint.backoffUntil, now + *notice.backoff);
    }
    if (notice.isLeaving && !constraint.isLeaving) {
        constraint.isLeaving = true;
        change.isLeaving = true;
        markChanged(table, constraint);
    }
    return change;
}

bool recordDepartures(replica_constraints &table, const std::vector<replica_key> &replicas, instant now)
{
    replica_notice departure;
    departure.isLeaving = true;
    bool hasChanged = false;
    for (const auto &replica : replicas) {
        hasChanged = applyNotice(table, replica, departure, now).isLeaving || hasChanged;
    }
    return hasChanged;
}

void expireEntries(replica_constraints &table, instant now)
{
    std::erase_if(table.entries, [&](const auto &entry) {
        const auto &constraint = entry.second;
        const auto lifetime = constraint.isLeaving ? departureLifetime : constraintLifetime;
        return now - constraint.updatedAt >= lifetime && now >= constraint.backoffUntil;
    });
}

bool mergeReport(replica_constraints &table, const constraint_report &report, instant now)
{
    const bool reportsLimit = report.rateAge < constraintLifetime;
    if (!reportsLimit && !report.isLeaving) {
        return false;
    }
    auto &constraint = table.entries[report.replica];
    const auto before = constraint.changed;
    const auto reportedAt = now - report.rateAge;
    constraint.updatedAt = now;
    if (reportsLimit && reportedAt > constraint.rateReportedAt) {
        updateLimit(table, constraint, report.rateLimit, reportedAt);
    } else if (reportsLimit && constraint.rateLimit != report.rateLimit) {
        // The sender has an earlier statement on the limit, so the later one is sent again.
        markChanged(table, constraint);
        return false;
    }
    if (report.isLeaving && !constraint.isLeaving) {
        constraint.isLeaving = true;
        markChanged(table, constraint);
    }
    return constraint.changed != before;
}

constraint_report makeReport(const replica_key &replica, const replica_constraint &constraint, instant now)
{
    return {replica, constraint.rateLimit, std::min(now - constraint.rateReportedAt, constraintLifetime), constraint.isLeaving};
}

bool mustBeShared(const replica_constraint &constraint)
{
    return constraint.changed > 0;
}

bool matchesReport(const replica_constraints &table, const constraint_report &report)
{
    const auto *known = findConstraint(table, report.replica);
    return known != nullptr && known->rateLimit == report.rateLimit && known->isLeaving == report.isLeaving;
}

const replica_constraint *findConstraint(const replica_constraints &table, const replica_key &replica)
{
    const auto found = table.entries.find(replica);
    return found == table.entries.end() ? nullptr : &found->second;
}

} // namespace vetchpost
