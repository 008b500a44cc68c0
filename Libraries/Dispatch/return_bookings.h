// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_request.h"

#include <deque>
#include <map>
#include <utility>

namespace vetchpost {

/// The times at which refused clients of one model were told to come back. So many are told each second as can be served at that time.
struct return_bookings
{
    /// In order of time, by organisation and priority.
    std::map<std::pair<organisation_id, int>, std::deque<instant>> own;
    /// By priority: those whose clients did not come back at once. They may have gone to another dispatcher of the model, as clients of
    /// that one come here.
    std::map<int, std::deque<instant>> open;
    /// The last booked time, in milliseconds of the monotonic clock.
    double bookedUntilMs = 0;
    /// When the dispatcher began to serve the model.
    instant startedAt;
};

/// The share of the freed slots that is booked for clients that come back.
constexpr double bookedShare = 0.25;

/// Chooses the time after which a refused client is to come back, and books it unless that was done before. \a freedPerMs: the slots of the
/// model that become free per millisecond.
duration bookReturn(return_bookings &bookings, const slot_request &request, const endpoint &asker, double freedPerMs, instant now);
/// Removes the booking of a client that came back. Returns false if there is none for it that is due.
bool takeBooking(return_bookings &bookings, const slot_request &request, instant now);
/// Opens the bookings whose clients did not come back, and drops them later.
void ageBookings(return_bookings &bookings, instant now);
/// Whether clients were told to come back after \a now.
bool areReturnsDue(const return_bookings &bookings, instant now);

} // namespace vetchpost
