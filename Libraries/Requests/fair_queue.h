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

/// One waiting request.
struct queued_request
{
    std::uint64_t ticket = 0;
    organisation_id organisation;
    int priority = 0;
    double weight = 1;
    /// The tokens that it is expected to cost, prompt and answer.
    double cost = 1;
    instant arrived;
    instant deadline;
};

struct fair_queue_limits
{
    std::size_t longest = 1000;
};

/// Requests that wait for a place at a deployment: strictly by priority, and within one priority by start-time fair
/// queueing, so that each organisation gets tokens in proportion to its weight.
struct fair_queue
{
    /// One organisation at one priority, with its requests in the order of arrival. Only what is served is charged: a request
    /// that expires or gives up leaves the tags as they were.
    struct flow
    {
        std::list<queued_request> waiting;
        /// The start tag of the first one that waits; where none waits, the finish tag of the last one that was served.
        double startTag = 0;
    };

    struct priority_level
    {
        std::map<organisation_id, flow> flows;
        double virtualTime = 0;
        /// Tokens a second that were asked for lately.
        double askedRate = 0;
        double asked = 0;
        instant askedSince;
    };

    fair_queue_limits limits;
    /// The highest priority first.
    std::map<int, priority_level, std::greater<>> levels;
    std::size_t length = 0;
    /// Tokens a second that left the queue lately; 0 while nothing is known.
    double drainRate = 0;
    instant drainSince;
    double drained = 0;
};

// Commands.

/// Puts a request in; false where the queue is full.
bool enqueue(fair_queue &queue, const queued_request &request);
/// Takes out the request whose turn it is; nothing where none waits.
std::optional<queued_request> dequeue(fair_queue &queue, instant now);
/// Takes out every request whose deadline has passed.
std::vector<queued_request> removeExpired(fair_queue &queue, instant now);
/// Takes out one request that gave up; false where it does not wait.
bool removeTicket(fair_queue &queue, std::uint64_t ticket);

// Queries.

/// The priority of the request whose turn is next; nothing where none waits.
std::optional<int> nextPriority(const fair_queue &queue);
/// The share of all places that is kept free of requests of this priority, since those above it will want them.
double reservedShare(const fair_queue &queue, int priority);
/// How long a request of this priority and cost would wait, from what left the queue lately; nothing while unknown.
std::optional<duration> expectedWait(const fair_queue &queue, const queued_request &request);

} // namespace vetchpost
