// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/replica_constraints.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// How each daemon paces its own requests to cold replicas, so that the sum of all daemons stays within the platform's bound without any
/// message between them.
namespace vetchpost {

/// The bound on the requests that all daemons together may send to one cold replica in any second: overrun x the replica's rate + slack.
struct cold_bound
{
    double overrun = 0;
    double slack = 0;
};

/// What a daemon knows of the number of daemons that send requests.
struct daemon_count
{
    /// The largest number that has been reported; nothing before the first report.
    std::optional<int> largest;
    instant firstReported;
};

/// The number of daemons that is assumed before one has been reported: the target deployment has this many.
constexpr int assumedColdDaemons = 350;
/// How long the number of daemons has to be reported before it is used. A coordinator that has just started knows few followers, and a
/// rate derived from their number would exceed the bound.
constexpr duration daemonCountSettleTime(10000);
/// The longest remaining cold time that is accepted from an answer's header. Answers have no order by which a later one could replace it.
constexpr duration maxHeaderColdTime(600000);

/// Records a report of the number of daemons, which is nothing if the number is not known.
void recordDaemons(daemon_count &count, std::optional<int> daemons, instant now);
/// Returns the number of daemons by which the rate is divided: the largest that has been reported, since a partitioned source reports too
/// few.
int pacingDaemons(const daemon_count &count, instant now);

/// Returns the requests per second that all daemons together may send to a cold replica which accepts \a perSecond: at most that, and so
/// few that the sum of independent daemons stays within the bound. \a share is the part of it that pacing may use, from 0 to 1.
double pacedRate(double perSecond, const cold_bound &bound, int daemons, double share);
/// Returns the time between two requests of one daemon to a cold replica, rounded up; at least 1 ms.
duration pacingInterval(double pacedPerSecond, int daemons);

/// One cold replica.
struct cold_replica
{
    /// When the cold time ends by the replica's entry, and by the headers of its answers.
    instant coldUntilByEntry;
    instant coldUntilByHeader;
    /// When this daemon may send it the next request.
    instant nextSend;
    /// Requests per second that it accepts while it is cold.
    double perSecond = 0;

    instant coldUntil() const
    {
        return std::max(coldUntilByEntry, coldUntilByHeader);
    }
    /// When this daemon may send it a request, as it is known now.
    instant openAt() const
    {
        return std::min(nextSend, coldUntil());
    }
};

/// The replicas that are cold, as one daemon knows them.
struct cold_pacing
{
    cold_bound bound;
    /// The part of a replica's rate that is paced here; the rest is for requests that are placed by other means.
    double share = 1;
    daemon_count daemons;
    std::map<replica_key, cold_replica> replicas;
};

/// A statement that a replica is cold.
struct cold_report
{
    replica_key replica;
    /// When its cold time ends.
    instant until;
    /// Requests per second that it accepts while it is cold; with 0 the replica is never cold.
    double perSecond = 0;
};

/// Applies the newest entry of a replica. Its end of the cold time replaces that of an earlier entry. \a draw is a random number, which
/// sets the first request within the interval. Returns whether the replica was not known to be cold before.
bool applyEntry(cold_pacing &pacing, const cold_report &report, std::uint64_t draw, instant now);
/// Applies the header of a replica's answer, which only extends the cold time: answers may be read in another order than they were sent.
/// Returns whether the replica was not known to be cold before.
bool applyHeader(cold_pacing &pacing, const cold_report &report, std::uint64_t draw, instant now);
/// Removes the replicas whose cold time is over, and returns them.
std::vector<replica_key> removeWarm(cold_pacing &pacing, instant now);

/// Returns when this daemon may send the replica a request; nothing if it may do so now.
std::optional<instant> coldBlockUntil(const cold_pacing &pacing, const replica_key &replica, instant now);
/// Takes the request that may be sent to the replica now. Returns false if none may be sent yet.
bool takeSend(cold_pacing &pacing, const replica_key &replica, instant now);

/// A future request to a cold replica.
struct cold_reservation
{
    replica_key replica;
    instant at;
};

/// Reserves the earliest request to one of \a replicas that may be sent by \a until. No other request of this daemon takes its place.
/// Returns nothing if all are later.
std::optional<cold_reservation> reserveSend(cold_pacing &pacing, const std::vector<replica_key> &replicas, instant now, instant until);

} // namespace vetchpost
