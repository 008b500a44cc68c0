// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace vetchpost {

/// The last tickets of each asking daemon that a dispatcher has dealt with. A datagram that the network duplicates or delivers after the
/// release of its ticket must not take a slot.
struct finished_tickets
{
    struct asker_tickets
    {
        std::set<std::uint64_t> known;
        /// In the order in which they were added.
        std::deque<std::uint64_t> order;
        instant usedAt;
    };

    std::map<endpoint, asker_tickets> askers;
};

/// Tickets that are remembered of one asker: those of some seconds at hundreds of requests per second.
constexpr std::size_t ticketsPerAsker = 512;
/// Number of askers that are remembered; well above the number of daemons, so that only forged senders are dropped.
constexpr std::size_t maxAskers = 1024;
/// An asker without requests for this long is forgotten.
constexpr duration askerLifetime(60000);

/// Adds a ticket. Returns false if it was known already.
bool addTicket(finished_tickets &tickets, const endpoint &asker, std::uint64_t ticket, instant now);
/// Returns whether a ticket was added and is still remembered.
bool hasTicket(const finished_tickets &tickets, const endpoint &asker, std::uint64_t ticket);
/// Forgets the askers that sent nothing for askerLifetime.
void dropOldAskers(finished_tickets &tickets, instant now);

} // namespace vetchpost
