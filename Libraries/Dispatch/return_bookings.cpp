// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/return_bookings.h"

#include <algorithm>
#include <string>

namespace vetchpost {

namespace {

/// The earliest time for a client to come back. Before it, the requests that wait now hold their slots.
constexpr duration shortestReturn(200);
/// The latest time to come back. Clients that would come later are told this time without a booking.
constexpr duration longestReturn(30000);
constexpr int spreadDivisor = 4;
/// How long a booking remains that of its organisation, and how long it remains at all.
constexpr duration ownBookingTime(200);
constexpr duration openBookingTime(2000);
/// How long a new dispatcher takes every client that comes back for one that its predecessor refused.
constexpr duration unknownBookingTime(5000);
/// Assumed while no slot is known to become free.
constexpr double leastFreedPerMs = 0.001;

/// A number that is different for each request, to spread the times at which clients come back.
std::uint64_t drawOf(const slot_request &request, const endpoint &asker)
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    constexpr int highBits = 32;
    auto value = request.ticket * multiplier + std::hash<std::string>()(asker.host) + asker.port;
    value = (value ^ (value >> highBits)) * multiplier;
    return value >> highBits;
}

} // namespace

// A larger booked share refuses more new requests, which then come back in turn; a smaller one makes the refused wait longer.
bool takeBooking(return_bookings &bookings, const slot_request &request, instant now)
{
    const auto takeFirst = [&](std::deque<instant> &times) {
        const bool isDue = !times.empty() && times.front() <= now;
        if (isDue) {
            times.pop_front();
        }
        return isDue;
    };
    const auto own = bookings.own.find({request.organisation, request.priority});
    // A new dispatcher does not know whom its predecessor refused.
    return (own != bookings.own.end() && takeFirst(own->second)) || takeFirst(bookings.open[request.priority])
        || now - bookings.startedAt < unknownBookingTime;
}

void ageBookings(return_bookings &bookings, instant now)
{
    for (auto entry = bookings.own.begin(); entry != bookings.own.end();) {
        auto &[key, times] = *entry;
        while (!times.empty() && times.front() + ownBookingTime < now) {
            bookings.open[key.second].push_back(times.front());
            times.pop_front();
        }
        entry = times.empty() ? bookings.own.erase(entry) : std::next(entry);
    }
    for (auto &[priority, times] : bookings.open) {
        while (!times.empty() && times.front() + openBookingTime < now) {
            times.pop_front();
        }
    }
}

duration bookReturn(return_bookings &bookings, const slot_request &request, const endpoint &asker, double freedPerMs, instant now)
{
    auto &times = bookings.own[{request.organisation, request.priority}];
    if (request.hasReturned && !times.empty() && times.back() > now) {
        // A client that came back too early has a booking already; a further one would reward that.
        return times.back() - now;
    }
    const auto nowMs = static_cast<double>(now.time_since_epoch().count());
    const auto first = nowMs + static_cast<double>(shortestReturn.count());
    const auto next = std::max(bookings.bookedUntilMs, first) + 1 / (bookedShare * std::max(leastFreedPerMs, freedPerMs));
    const auto wait = duration(static_cast<std::int64_t>(next - nowMs));
    const auto spread
        = duration(static_cast<std::int64_t>(drawOf(request, asker) % static_cast<std::uint64_t>(wait.count() / spreadDivisor + 1)));
    if (wait > longestReturn) {
        return longestReturn + spread;
    }
    bookings.bookedUntilMs = next;
    const auto due = now + wait + spread;
    times.insert(std::upper_bound(times.begin(), times.end(), due), due);
    return due - now;
}

bool areReturnsDue(const return_bookings &bookings, instant now)
{
    return bookings.bookedUntilMs > static_cast<double>(now.time_since_epoch().count());
}

} // namespace vetchpost
