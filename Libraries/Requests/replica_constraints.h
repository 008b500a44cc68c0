// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Requests/replica_notice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// What replicas said of the work that they can take, by their lives (docs/design/REPLICA-CONSTRAINTS.md). A limit and a departure concern
/// all daemons, a rest the daemon that was asked for it.
namespace vetchpost {

/// One life of one replica: what it said holds for no other, whatever groups it belongs to meanwhile.
struct replica_key
{
    instance_id replica;
    replica_life life;

    auto operator<=>(const replica_key &) const = default;
};

struct replica_constraint
{
    /// Requests a second from all daemons together; nothing where it names no limit.
    std::optional<double> rateLimit;
    /// When it last named the limit, or answered without one.
    instant rateToldAt;
    /// Nothing from this daemon before this time.
    instant restsUntil;
    bool isLeaving = false;
    /// When anything was last learned of it.
    instant learnedAt;
    /// The number of its last change in this table that concerns all daemons; 0 where none has.
    std::uint64_t changed = 0;
};

struct replica_constraints
{
    std::map<replica_key, replica_constraint> known;
    /// Of all changes so far.
    std::uint64_t changes = 0;
};

/// Of which nothing was learned for so long is forgotten: the replica has ended, or nobody has asked it for anything.
constexpr duration constraintLifetime(600000);
/// A departure holds until the next life, however long the replica takes to end; what has ended must be forgotten at some time.
constexpr duration departureLifetime(86400000);

/// Which parts of what is known an answer changed.
struct constraint_change
{
    bool hasLimit = false;
    bool hasRest = false;
    bool isLeaving = false;

    bool isAny() const
    {
        return hasLimit || hasRest || isLeaving;
    }
};

/// Takes in what an answer to this daemon says.
constraint_change noteAnswer(replica_constraints &table, const replica_key &replica, const replica_notice &notice, instant now);
/// Takes in replicas whose entries say that they leave; true where that was news.
bool noteDepartures(replica_constraints &table, const std::vector<replica_key> &replicas, instant now);
void forgetOld(replica_constraints &table, instant now);

/// What one daemon tells another of a replica.
struct constraint_report
{
    replica_key replica;
    std::optional<double> rateLimit;
    /// Since the replica last named the limit, or answered without one; constraintLifetime where it did neither.
    duration rateAge{};
    bool isLeaving = false;
};

/// Takes in what another daemon tells. The later word on a limit holds, and is told again where an earlier one came against it. True where
/// it was news.
bool takeEvidence(replica_constraints &table, const constraint_report &report, instant now);
constraint_report evidenceOf(const replica_key &replica, const replica_constraint &constraint, instant now);
/// Whether other daemons have to know of it.
bool concernsAll(const replica_constraint &constraint);
/// Whether the table holds just what a report told.
bool isAsTold(const replica_constraints &table, const constraint_report &report);

inline const std::map<replica_key, replica_constraint> &entriesOf(const replica_constraints &table)
{
    return table.known;
}

inline const replica_key &keyOf(const constraint_report &report)
{
    return report.replica;
}

/// What is known of a replica; nullptr where nothing is.
const replica_constraint *findConstraint(const replica_constraints &table, const replica_key &replica);

} // namespace vetchpost
