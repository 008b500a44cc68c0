// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Requests/replica_constraints.h"

#include <cstdint>
#include <map>
#include <optional>

/// How all daemons together keep to a limit that a replica has named: one of them, the source of the feed, issues permits at the limit's
/// rate, and a request goes to the replica with a permit alone (docs/design/REPLICA-CONSTRAINTS.md).
namespace vetchpost {

/// A permit is used within this time of the question that it answers, by the asker's clock.
constexpr duration permitLifetime(1000);
/// A question without an answer may be asked again after this time.
constexpr duration permitQuestionTimeout(250);
/// Permits in one answer.
constexpr int mostPermitsAtOnce = 16;

/// A daemon asks for permits for one replica.
struct permit_question
{
    /// Comes back in the answer, so that the asker knows when it had asked.
    std::uint64_t nonce = 0;
    int wanted = 1;
    /// What the asker knows of the replica.
    constraint_report report;
};

struct permit_answer
{
    std::uint64_t nonce = 0;
    replica_key replica;
    int granted = 0;
    /// When to ask again for more.
    duration wait{};
};

// The source's side.

/// Of one replica, at the source.
struct permit_bucket
{
    double perSecond = 0;
    double available = 0;
    instant filledAt;
    /// Who has asked of late, and when.
    std::map<endpoint, instant> askers;
};

struct permit_issuer
{
    std::map<replica_key, permit_bucket> buckets;
};

/// Issues what the limit allows now. A bucket begins empty: what an earlier source issued may be in use still.
permit_answer issuePermits(permit_issuer &issuer, const permit_question &question, double perSecond, const endpoint &asker, instant now);
/// The same by the limit that \a table knows once it has taken in what the asker knows; else by the asker's own word.
permit_answer
answerQuestion(permit_issuer &issuer, replica_constraints &table, const permit_question &question, const endpoint &asker, instant now);

// The asker's side.

/// Of one replica, at a daemon that sends requests there.
struct held_permits
{
    int count = 0;
    /// The permits are void from then on.
    instant validUntil;
    /// The question that has no answer yet.
    std::optional<std::uint64_t> asked;
    instant askedAt;
    /// No permit is to be had before this time.
    instant nextQuestion;
    /// Requests that found no permit since the last question.
    int wanted = 0;
};

struct permit_wallet
{
    std::map<replica_key, held_permits> held;
    std::uint64_t lastNonce = 0;
};

bool hasPermit(const permit_wallet &wallet, const replica_key &replica, instant now);
/// Takes a permit for one request; false where there is none.
bool takePermit(permit_wallet &wallet, const replica_key &replica, instant now);
/// A request would go to the replica, had it a permit. The question that is due; nothing while one is under way or none is to be had.
std::optional<permit_question> wantPermit(permit_wallet &wallet, const replica_key &replica, instant now);
/// Takes in an answer; false where it answers no question that is open still.
bool takeAnswer(permit_wallet &wallet, const permit_answer &answer, instant now);
/// When a permit may be had; \a now where a question is under way or may be asked.
instant permitExpectedAt(const permit_wallet &wallet, const replica_key &replica, instant now);

/// Forgets replicas that are not in \a table or have no limit.
void keepLimited(permit_issuer &issuer, const replica_constraints &table);
void keepLimited(permit_wallet &wallet, const replica_constraints &table);

} // namespace vetchpost
