// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/request_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Requests under which replicas ended, and which of them no replica may get any more (docs/design/CRASHING-REQUESTS.md).
namespace vetchpost {

/// Names one end of one replica: the same for all requests that were there.
using replica_end = sequence<struct replica_end_tag>;

/// A request is refused once so many replicas have ended under it. Fewer would refuse those that ran beside it once or twice.
constexpr std::size_t endsBeforeRefusal = 3;
/// ... and for so long after the last of them. A model or a replica may have been mended by then; the next end renews it.
constexpr duration refusalTime(600000);
/// A suspect without a new end for so long is forgotten.
constexpr duration suspicionLifetime(3600000);
/// The table holds no more; then the organisation with the most of them loses the one with the fewest ends, the oldest of these.
constexpr std::size_t mostSuspects = 1024;
/// Of the ends of one request so many are told; more change nothing.
constexpr std::size_t mostEndsKept = 6;

/// What is known of one request that was at a replica when it ended.
struct crash_suspect
{
    organisation_id organisation;
    std::set<replica_end> ends;
    instant lastEnd;
    /// Rises when the request is answered whole, or an operator allows it again: ends of an earlier round no longer count.
    std::uint64_t round = 0;
    /// The number of its last change in this table.
    std::uint64_t changed = 0;
};

struct crash_suspects
{
    std::map<request_identity, crash_suspect> suspects;
    /// Of all changes so far.
    std::uint64_t changes = 0;
    /// Refused by what is known now, as far as their time is not over.
    std::set<request_identity> refused;
    /// Left out for want of room.
    std::uint64_t dropped = 0;
};

/// What one daemon tells another of a suspect.
struct crash_evidence
{
    request_identity request;
    organisation_id organisation;
    std::vector<replica_end> ends;
    std::uint64_t round = 0;
    /// Since the last end.
    duration age{};
};

/// The number of a replica's end, the same at every daemon.
replica_end endOf(const std::string &replica, std::uint64_t life);

/// A replica ended while the request was there.
void noteEnd(crash_suspects &table, const request_identity &request, const organisation_id &organisation, replica_end end, instant now);
/// The request was answered whole: a request that ends replicas never is. True where that clears it.
bool noteAnswered(crash_suspects &table, const request_identity &request);
/// Takes in what another daemon tells; true where it was news.
bool takeEvidence(crash_suspects &table, const crash_evidence &evidence, instant now);
void forgetOld(crash_suspects &table, instant now);

bool isRefused(const crash_suspects &table, const request_identity &request, instant now);
/// How long it still is; nothing where it is not refused.
std::optional<duration> refusedFor(const crash_suspects &table, const request_identity &request, instant now);

crash_evidence evidenceOf(const request_identity &request, const crash_suspect &suspect, instant now);
/// Whether all daemons have to know of it: one more end would have it refused, or it has been cleared.
bool concernsAll(const crash_suspect &suspect);
/// Whether the table holds just what another daemon told.
bool isAsTold(const crash_suspects &table, const crash_evidence &evidence);

inline const std::map<request_identity, crash_suspect> &entriesOf(const crash_suspects &table)
{
    return table.suspects;
}

inline const request_identity &keyOf(const crash_evidence &evidence)
{
    return evidence.request;
}

} // namespace vetchpost
