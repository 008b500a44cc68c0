// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/fair_queue.h"

#include <set>

/// Who goes first where a daemon that carries tunnels for others has more work than it can bear: its own requests and those of the others
/// wait in one queue, by priority and then fairly by organisation, whichever daemon their clients met.
namespace vetchpost {

/// The work that one daemon bears, and the work that waits.
struct work_admission
{
    /// How much work may run at once while tunnels are carried.
    int limit = 0;
    int running = 0;
    /// The part of the running work that are tunnels.
    int tunnels = 0;
    fair_queue waiting;
    /// Tickets of tunnels among the waiting work.
    std::set<std::uint64_t> waitingTunnels;
    /// Tickets of work that may begin since room became free.
    std::set<std::uint64_t> granted;
};

/// What became of new work.
enum class admission_result {
    /// It may begin.
    admitted,
    /// It waits; its ticket is among work_admission::granted once it may begin.
    queued,
    /// It cannot begin within the time that it may wait.
    refused
};

/// Requests room for a request of this daemon's own clients, or for a tunnel if \a isTunnel. Work of this daemon alone is not limited:
/// without tunnels nobody else competes for the daemon.
admission_result requestRoom(work_admission &admission, const queued_request &work, bool isTunnel, instant now);
/// Ends work that was admitted, or whose grant was taken, and grants its room to the next.
void releaseRoom(work_admission &admission, bool isTunnel, instant now);
/// Takes a grant. Returns false if there is none for this ticket yet.
bool takeGrant(work_admission &admission, std::uint64_t ticket);
/// Gives up waiting. A grant that was not taken goes to the next.
void withdraw(work_admission &admission, std::uint64_t ticket, bool isTunnel, instant now);

} // namespace vetchpost
