// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/work_admission.h"

namespace vetchpost {

namespace {

bool hasRoom(const work_admission &admission, bool isTunnel)
{
    const bool isShared = admission.tunnels > 0 || !admission.waitingTunnels.empty() || isTunnel;
    return !isShared || admission.running < admission.limit;
}

void begin(work_admission &admission, bool isTunnel)
{
    ++admission.running;
    admission.tunnels += isTunnel ? 1 : 0;
}

/// Grants free room to the work that waits.
void grantNext(work_admission &admission, instant now)
{
    for (const auto &expired : removeExpired(admission.waiting, now)) {
        admission.waitingTunnels.erase(expired.ticket);
    }
    while (admission.waiting.length > 0 && hasRoom(admission, false)) {
        const auto next = dequeue(admission.waiting, now);
        if (!next) {
            return;
        }
        begin(admission, admission.waitingTunnels.erase(next->ticket) > 0);
        admission.granted.insert(next->ticket);
    }
}

} // namespace

admission_result requestRoom(work_admission &admission, const queued_request &work, bool isTunnel, instant now)
{
    grantNext(admission, now);
    // Nobody passes over work that waits already; the queue decides.
    if (admission.waiting.length == 0 && hasRoom(admission, isTunnel)) {
        begin(admission, isTunnel);
        return admission_result::admitted;
    }
    const auto wait = expectedWait(admission.waiting, work);
    if (work.deadline <= now || (wait && now + *wait > work.deadline) || !enqueue(admission.waiting, work)) {
        return admission_result::refused;
    }
    if (isTunnel) {
        admission.waitingTunnels.insert(work.ticket);
    }
    return admission_result::queued;
}

void releaseRoom(work_admission &admission, bool isTunnel, instant now)
{
    --admission.running;
    admission.tunnels -= isTunnel ? 1 : 0;
    grantNext(admission, now);
}

bool takeGrant(work_admission &admission, std::uint64_t ticket)
{
    return admission.granted.erase(ticket) > 0;
}

void withdraw(work_admission &admission, std::uint64_t ticket, bool isTunnel, instant now)
{
    if (takeGrant(admission, ticket)) {
        releaseRoom(admission, isTunnel, now);
        return;
    }
    removeTicket(admission.waiting, ticket);
    admission.waitingTunnels.erase(ticket);
    grantNext(admission, now);
}

} // namespace vetchpost
