// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/finished_tickets.h"

#include <algorithm>

namespace vetchpost {

namespace {

void dropOldestAsker(finished_tickets &tickets)
{
    const auto isOlder = [](const auto &left, const auto &right) { return left.second.usedAt < right.second.usedAt; };
    tickets.askers.erase(std::min_element(tickets.askers.begin(), tickets.askers.end(), isOlder));
}

} // namespace

bool addTicket(finished_tickets &tickets, const endpoint &asker, std::uint64_t ticket, instant now)
{
    if (tickets.askers.size() >= maxAskers && !tickets.askers.contains(asker)) {
        dropOldestAsker(tickets);
    }
    auto &known = tickets.askers[asker];
    known.usedAt = now;
    if (!known.known.insert(ticket).second) {
        return false;
    }
    known.order.push_back(ticket);
    if (known.order.size() > ticketsPerAsker) {
        known.known.erase(known.order.front());
        known.order.pop_front();
    }
    return true;
}

bool hasTicket(const finished_tickets &tickets, const endpoint &asker, std::uint64_t ticket)
{
    const auto known = tickets.askers.find(asker);
    return known != tickets.askers.end() && known->second.known.contains(ticket);
}

void dropOldAskers(finished_tickets &tickets, instant now)
{
    std::erase_if(tickets.askers, [&](const auto &entry) { return now - entry.second.usedAt > askerLifetime; });
}

} // namespace vetchpost
