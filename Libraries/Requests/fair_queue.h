// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace vetchpost {

/// A request that waits for a slot.
struct queued_request
{
    std::uint64_t ticket = 0;
    organisation_id organisation;
    int priority = 0;
    double weight = 1;
    /// Expected cost in tokens, of prompt and answer together.
    double cost = 1;
    instant arrived;
    instant deadline;
};

struct fair_queue_limits
{
    std::size_t maxLength = 1000;
};

/// Requests that wait for a slot at a deployment. They are served strictly by priority, and within one priority by start-time fair
/// queueing, so that each organisation gets tokens in proportion to its weight.
struct fair_queue
{
    /// The requests of one organisation at one priority, in the order of arrival. Only served requests are charged: one that expires or is
    /// cancelled leaves the tags unchanged.
    struct flow
    {
        std::list<queued_request> waiting;
        /// The start tag of the first waiting request; if none waits, the finish tag of the last one served.
        double startTag = 0;
    };

    struct priority_level
    {
        std::map<organisation_id, flow> flows;
        double virtualTime = 0;
        /// Smoothed demand in tokens per second.
        double demandRate = 0;
        double demand = 0;
        instant demandWindowStart;
    };

    fair_queue_limits limits;
    /// Sorted from the highest priority to the lowest.
    std::map<int, priority_level, std::greater<>> levels;
    std::size_t length = 0;
    /// Smoothed rate in tokens per second at which requests leave the queue; 0 while unknown.
    double drainRate = 0;
    instant drainWindowStart;
    double drained = 0;
};

// Commands.

/// Adds a request. Returns false if the queue is full.
bool enqueue(fair_queue &queue, const queued_request &request);
/// Removes and returns the next request, or nothing if none waits.
std::optional<queued_request> dequeue(fair_queue &queue, instant now);
/// Removes and returns every request whose deadline has passed.
std::vector<queued_request> removeExpired(fair_queue &queue, instant now);
/// Removes one cancelled request. Returns false if it does not wait.
bool removeTicket(fair_queue &queue, std::uint64_t ticket);

// Queries.

/// Returns the priority of the next request, or nothing if none waits.
std::optional<int> nextPriority(const fair_queue &queue);
/// Returns the share of all slots, from 0 to 1, that is kept free of requests of this priority because higher priorities will need it.
double reservedShare(const fair_queue &queue, int priority);
/// Estimates how long a request of this priority and cost would wait, from the rate at which requests leave the queue. Returns nothing
/// while that rate is unknown.
std::optional<duration> expectedWait(const fair_queue &queue, const queued_request &request);

} // namespace vetchpost
