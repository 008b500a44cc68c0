// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Requests/replica_constraints.h"

#include <cstdint>
#include <map>
#include <optional>

/// Enforces a replica's rate limit across all daemons: one of them, the source of the feed, issues permits at the rate of the limit, and a
/// request is sent to the replica only with a permit (docs/design/REPLICA-CONSTRAINTS.md).
namespace vetchpost {

/// How long a permit is valid after the request for it, by the clock of the daemon that requested it.
constexpr duration permitLifetime(1000);
/// A permit request without a response may be repeated after this time.
constexpr duration permitRequestTimeout(250);
/// Maximum number of permits in one response.
constexpr int maxPermitsPerResponse = 16;

/// A daemon's request for permits for one replica.
struct permit_request
{
    /// Returned in the response, so that the requesting daemon knows when it sent the request.
    std::uint64_t nonce = 0;
    int wanted = 1;
    /// The requesting daemon's knowledge of the replica's constraints.
    constraint_report report;
};

/// The source's response to a permit request.
struct permit_response
{
    std::uint64_t nonce = 0;
    replica_key replica;
    int granted = 0;
    /// Time to wait before the next request; 0 if all requested permits were granted.
    duration wait{};
};

// The source, which issues permits.

/// The token bucket of one replica at the source.
struct permit_bucket
{
    double perSecond = 0;
    double available = 0;
    instant filledAt;
    /// The daemons that have requested permits recently, with the time of their last request.
    std::map<endpoint, instant> requesters;
};

struct permit_issuer
{
    std::map<replica_key, permit_bucket> buckets;
};

/// Issues as many of the requested permits as a limit of \a perSecond requests per second allows now. A bucket starts empty, because
/// permits issued by an earlier source may still be in use.
permit_response
issuePermits(permit_issuer &issuer, const permit_request &request, double perSecond, const endpoint &requester, instant now);
/// Merges the requesting daemon's report into \a table, and issues permits by the limit in the table, or by the reported one if the table
/// has none.
permit_response answerPermitRequest(
    permit_issuer &issuer, replica_constraints &table, const permit_request &request, const endpoint &requester, instant now);

// The daemons that request permits and use them.

/// The permits for one replica at a daemon that sends requests to it.
struct held_permits
{
    int count = 0;
    /// When the permits expire.
    instant validUntil;
    /// The nonce of the permit request that has no response yet.
    std::optional<std::uint64_t> pendingNonce;
    instant requestedAt;
    /// No permits are requested before this time.
    instant nextRequestAt;
    /// Number of client requests that found no permit since the last permit request.
    int wanted = 0;
};

/// The permits that a daemon holds, by replica.
struct permit_holder
{
    std::map<replica_key, held_permits> held;
    std::uint64_t lastNonce = 0;
};

bool hasPermit(const permit_holder &holder, const replica_key &replica, instant now);
/// Uses up one permit for a client request. Returns false if there is none.
bool consumePermit(permit_holder &holder, const replica_key &replica, instant now);
/// Counts a client request that found no permit for the replica. Returns the permit request to send now; nothing while one is pending or
/// the source's wait time has not passed.
std::optional<permit_request> nextPermitRequest(permit_holder &holder, const replica_key &replica, instant now);
/// Adds the granted permits. Returns false if the response does not belong to the pending permit request.
bool acceptResponse(permit_holder &holder, const permit_response &response, instant now);
/// Returns when the next permit can be expected; \a now if a permit request is pending or may be sent.
instant permitExpectedAt(const permit_holder &holder, const replica_key &replica, instant now);

/// Removes the replicas that are not in \a table or have no limit.
void removeUnlimited(permit_issuer &issuer, const replica_constraints &table);
void removeUnlimited(permit_holder &holder, const replica_constraints &table);

} // namespace vetchpost
