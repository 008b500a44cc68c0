// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

/// Decides when a silent stream is also requested from a second group (docs/design/STREAM-HEDGING.md). A lost packet on a healthy
/// connection costs the sender's retransmission timeout, which is longer than most limits on the pause between two events.
namespace vetchpost {

/// A smoothed time and its smoothed mean deviation, in milliseconds.
struct usual_time
{
    double mean = 0;
    double deviation = 0;
    int count = 0;
};

/// Adds a time to the smoothed ones.
void recordTime(usual_time &known, duration time);

/// The times between events that are usual at one group.
struct group_pauses
{
    usual_time pause;
    instant updatedAt;
};

/// A stream that was continued by a second group, while it is open whether the first one had stalled.
struct unconfirmed_hedge
{
    instance_id head;
    instant at;
};

/// What one daemon has observed of the streams of one model.
struct stream_habits
{
    /// Between two events, over all groups.
    usual_time pause;
    /// From sending a request to its first event.
    usual_time firstEvent;
    std::map<instance_id, group_pauses> groups;
};

/// What one daemon has observed of the network's losses.
struct observed_losses
{
    /// When the last pauses as long as a retransmission ended by themselves.
    std::deque<instant> retransmissions;
    std::deque<unconfirmed_hedge> unconfirmed;
};

/// How long an observed retransmission counts. One daemon of many has few streams, and a network rarely changes.
constexpr duration retransmissionMemory(300000);
/// Without this many observed retransmissions the network counts as one without losses, and no stream is hedged.
constexpr std::size_t minRetransmissions = 2;

/// Records the time between two events on one connection to the group of \a head. Returns whether it shows that a packet was lost.
bool recordPause(stream_habits &habits, const instance_id &head, duration pause, instant now);
/// Records that a pause ended which shows that a packet was lost.
void recordRetransmission(observed_losses &losses, instant at);
/// Records the time from sending a request to its first event.
void recordFirstEventTime(stream_habits &habits, duration time);
/// Records that a second group has continued a stream of the group of \a head.
void recordHedgeWon(observed_losses &losses, const instance_id &head, instant now);
/// Decides about streams that a second group continued some time ago: those whose first group still serves (\a isServing) were held up by
/// the network and count as retransmissions.
void confirmHedges(observed_losses &losses, const std::function<bool(const instance_id &)> &isServing, instant now);
/// Whether the network has lost packets recently.
bool losesPackets(const observed_losses &losses, instant now);

/// Returns how long a stream at the group of \a head may pause before a second group is asked; nothing if no time is known, or if the
/// second group could not send an event within \a pauseLimit.
std::optional<duration> pauseBeforeHedge(const stream_habits &habits, const instance_id &head, duration pauseLimit);
/// Returns how long the first event of a stream may take before a second group is asked; nothing if no time is known, or if the second
/// group could not send one within \a timeLeft, the time left until the event is late.
std::optional<duration> firstEventBeforeHedge(const stream_habits &habits, duration timeLeft);

} // namespace vetchpost
