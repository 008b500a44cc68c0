// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/replica_constraints.h"

#include <algorithm>

namespace vetchpost {

namespace {

void noteChange(replica_constraints &table, replica_constraint &constraint)
{
    constraint.changed = ++table.changes;
}

/// True where the limit itself is another one now.
bool takeLimit(replica_constraints &table, replica_constraint &constraint, std::optional<double> limit, instant toldAt)
{
    constraint.rateToldAt = std::max(constraint.rateToldAt, toldAt);
    if (constraint.rateLimit == limit) {
        return false;
    }
    constraint.rateLimit = limit;
    noteChange(table, constraint);
    return true;
}

} // namespace

constraint_change noteAnswer(replica_constraints &table, const replica_key &replica, const replica_notice &notice, instant now)
{
    const bool saysNothing = !notice.rateLimit && !notice.rest && !notice.isLeaving;
    if (saysNothing && !table.known.contains(replica)) {
        return {};
    }
    auto &constraint = table.known[replica];
    constraint.learnedAt = now;
    constraint_change change;
    if (notice.rateLimit || notice.tellsAll) {
        change.hasLimit = takeLimit(table, constraint, notice.rateLimit, now);
    }
    if (notice.rest) {
        change.hasRest = now >= constraint.restsUntil;
        constraint.restsUntil = std::max(constraint.restsUntil, now + *notice.rest);
    }
    if (notice.isLeaving && !constraint.isLeaving) {
        constraint.isLeaving = true;
        change.isLeaving = true;
        noteChange(table, constraint);
    }
    return change;
}

bool noteDepartures(replica_constraints &table, const std::vector<replica_key> &replicas, instant now)
{
    replica_notice departure;
    departure.isLeaving = true;
    bool isNews = false;
    for (const auto &replica : replicas) {
        isNews = noteAnswer(table, replica, departure, now).isLeaving || isNews;
    }
    return isNews;
}

void forgetOld(replica_constraints &table, instant now)
{
    std::erase_if(table.known, [&](const auto &entry) {
        const auto &constraint = entry.second;
        const auto lifetime = constraint.isLeaving ? departureLifetime : constraintLifetime;
        return now - constraint.learnedAt >= lifetime && now >= constraint.restsUntil;
    });
}

bool takeEvidence(replica_constraints &table, const constraint_report &report, instant now)
{
    const bool tellsLimit = report.rateAge < constraintLifetime;
    if (!tellsLimit && !report.isLeaving) {
        return false;
    }
    auto &constraint = table.known[report.replica];
    const auto before = constraint.changed;
    const auto toldAt = now - report.rateAge;
    constraint.learnedAt = now;
    if (tellsLimit && toldAt > constraint.rateToldAt) {
        takeLimit(table, constraint, report.rateLimit, toldAt);
    } else if (tellsLimit && constraint.rateLimit != report.rateLimit) {
        // Whoever told it holds an earlier word.
        noteChange(table, constraint);
        return false;
    }
    if (report.isLeaving && !constraint.isLeaving) {
        constraint.isLeaving = true;
        noteChange(table, constraint);
    }
    return constraint.changed != before;
}

constraint_report evidenceOf(const replica_key &replica, const replica_constraint &constraint, instant now)
{
    return {replica, constraint.rateLimit, std::min(now - constraint.rateToldAt, constraintLifetime), constraint.isLeaving};
}

bool concernsAll(const replica_constraint &constraint)
{
    return constraint.changed > 0;
}

bool isAsTold(const replica_constraints &table, const constraint_report &report)
{
    const auto *known = findConstraint(table, report.replica);
    return known != nullptr && known->rateLimit == report.rateLimit && known->isLeaving == report.isLeaving;
}

const replica_constraint *findConstraint(const replica_constraints &table, const replica_key &replica)
{
    const auto found = table.known.find(replica);
    return found == table.known.end() ? nullptr : &found->second;
}

} // namespace vetchpost
