// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/return_bookings.h"
#include "Libraries/Dispatch/slot_ledger.h"

#include <list>
#include <map>
#include <optional>

namespace vetchpost {

/// The right of a waiting request to a freed slot, from the first to the last.
enum class slot_claim {
    /// The request had a turn before: the client came back at the time that it was told, or a group failed to serve the request.
    returned,
    /// The first event can be in time.
    in_time,
    /// The first event is late anyway, or the client came back too early: takes only slots that no request in time needs.
    spare
};

struct waiting_request
{
    slot_request request;
    endpoint asker;
    slot_claim claim = slot_claim::in_time;
    instant arrivedAt;
    /// The latest start with which it is in time; for a spare request, the end of its wait.
    instant startBy;
    /// The first event must be expected by then at the group that gets the request.
    instant firstEventBy;
    /// Its place in the virtual time of its priority, in tokens per organisation: the lowest is served first.
    double startTag = 0;
};

/// The requests of one priority. Organisations share by start-time fair queueing of tokens.
struct priority_level
{
    std::map<organisation_id, double> finishTags;
    double virtualTime = 0;
    /// Requests that wait for a slot in time.
    int waiting = 0;
    /// Slots that went to other priorities while a request of this one waited.
    int passedOver = 0;
    /// The share of new requests that were not refused, smoothed over about the last fifty.
    double acceptedShare = 1;
    instant lastRefusal;
};

/// The requests that wait for a slot of one model, in the order in which they get one, and the clients that were refused.
struct slot_queue
{
    std::list<waiting_request> waiting;
    std::map<int, priority_level> priorities;
    /// Smoothed rate at which requests got slots while others waited, per millisecond; 0 while unknown.
    double servedPerMs = 0;
    int servedInWindow = 0;
    instant windowStart;
    return_bookings bookings;
};

/// What the queue needs to know of the slots to judge a request.
struct slot_supply
{
    /// Slots that are expected to become free per millisecond.
    double freedPerMs = 0;
    /// The time from the grant to the first event of the request, and the part of it for which its prompt is read.
    double firstEventMs = 0;
    double readMs = 0;
};

/// The time within which a request is refused that cannot be served, with a margin to 50 ms for the way of the answer.
constexpr duration promptRefusalTime(45);

// Commands.

/// Adds a request if it can be served in time, or later by a spare slot if the client was refused before. Returns its longest wait; nothing
/// if it is to be refused. Moves requests that cannot be in time any more because of the new one to \a displaced.
std::optional<duration> enqueueRequest(slot_queue &queue,
                                       const slot_request &request,
                                       const endpoint &asker,
                                       const slot_supply &supply,
                                       std::list<waiting_request> &displaced,
                                       instant now);
/// Removes a request that got a slot or was cancelled.
void removeWaiting(slot_queue &queue, std::list<waiting_request>::iterator position);
/// Records that a request got a slot, for the shares of organisations and priorities, and for the rate at which the queue is served.
void recordServed(slot_queue &queue, const slot_request &request, instant now);
/// Records whether a new request of a priority was accepted or refused.
void recordDecision(slot_queue &queue, int priority, bool isAccepted, instant now);
/// Removes and returns the requests that cannot be served any more.
std::list<waiting_request> removeOverdue(slot_queue &queue, double freedPerMs, instant now);
/// Gives waiting clients that came back too early their place once their time has come.
void promoteReturned(slot_queue &queue, instant now);

// Queries.

/// Returns the request that is to get the next slot, or the end if none waits.
std::list<waiting_request>::iterator nextWaiting(slot_queue &queue);
/// Returns the waiting request of a ticket, or the end.
std::list<waiting_request>::iterator findWaiting(slot_queue &queue, const slot_ticket &ticket);
/// Returns how many requests are expected to get a slot per millisecond, given the number of slots that are expected to become free.
double expectedServed(const slot_queue &queue, double freedPerMs);
/// Returns when a waiting request is refused that has not got a slot.
instant endOfWait(const waiting_request &entry);
/// Whether a request waits that is to get a slot before any new one.
bool hasClaims(const slot_queue &queue);
/// Returns the latest time to the first event with which a request is in time. It exceeds the objective for a prompt that alone takes most
/// of it.
duration latestFirstEvent(const slot_request &request, const slot_supply &supply);
/// Whether the first event is late even if the request gets a slot now.
bool isLate(const slot_request &request, const slot_supply &supply);

} // namespace vetchpost
