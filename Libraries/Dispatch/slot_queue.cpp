// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_queue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace vetchpost {

namespace {

/// A new request waits only if its slack is this multiple of the expected wait, because slots become free at random.
constexpr double admissionMargin = 1.2;
/// The same for a request that will probably be overtaken.
constexpr double overtakenMargin = 3;
/// A waiting request is refused early if its slack is less than this multiple of the expected wait.
constexpr double hopelessMargin = 1.1;
/// How much longer a request waits for which a prompt refusal is no longer possible. A late first event is better than a late refusal.
constexpr duration keptTime(300);
/// Every priority with waiting requests gets at least one slot in this number.
constexpr int slotsPerTurn = 10;
/// Weight of one decision in a priority's share of accepted requests.
constexpr double newestDecisionWeight = 0.02;
/// By how much more often than a more urgent request another one is accepted.
constexpr double toleratedShare = 0;
/// How long a refusal counts. Without a newer one the requests of its priority are served.
constexpr duration refusalTime(300);
/// The slack of a client that came back at the time that it was told.
constexpr duration returnedSlack(100);
/// A request that must start within this time is not overtaken by others of its priority: it would be refused after it has waited.
constexpr duration keptSlack(60);
/// The slack of a request whose prompt alone takes most of its objective, as a part of the objective. It would never be served otherwise.
constexpr int longPromptSlackDivisor = 4;
/// How long a client that came back too early may wait for a spare slot.
constexpr duration longestSpareWait(2000);
constexpr int mostSpares = 200;
/// Bounds the time of one decision.
constexpr std::size_t mostWaiting = 1000;
/// Organisations whose served tokens are kept; those that are not ahead of their share need not be.
constexpr std::size_t mostFinishTags = 1000;
/// The time over which the rate is measured at which the queue is served.
constexpr duration servedWindow(100);
/// Assumed while no slot is known to become free.
constexpr double leastFreedPerMs = 0.001;

double costOf(const slot_request &request)
{
    return std::max(1, request.promptTokens + request.expectedTokens);
}

/// Whether an organisation has been served so much more than others that their requests overtake its own. Small differences are no reason
/// to overtake: a request that is overtaken after it has waited may have to be refused.
bool isAheadOfShare(double startTag, double otherTag, double cost)
{
    constexpr double toleratedRequests = 8;
    return startTag > otherTag + toleratedRequests * cost;
}

/// Whether a new request gets a slot before one that waits already.
bool overtakes(const waiting_request &entry, const waiting_request &other, instant now)
{
    const std::pair kind(entry.claim, entry.request.priority);
    const std::pair otherKind(other.claim, other.request.priority);
    if (entry.request.priority == other.request.priority && other.claim == slot_claim::in_time && other.startBy - now < keptSlack) {
        return false;
    }
    if (kind != otherKind) {
        return kind < otherKind;
    }
    return entry.claim == slot_claim::in_time && isAheadOfShare(other.startTag, entry.startTag, costOf(entry.request));
}

/// Returns the place of a new request: behind the last one that it does not overtake.
std::list<waiting_request>::iterator placeOf(slot_queue &queue, const waiting_request &entry, instant now)
{
    auto place = queue.waiting.end();
    while (place != queue.waiting.begin() && overtakes(entry, *std::prev(place), now)) {
        --place;
    }
    return place;
}

duration waitFor(int ahead, double freedPerMs)
{
    return duration(static_cast<std::int64_t>((ahead + 1) / std::max(leastFreedPerMs, freedPerMs)));
}

/// Counts the requests ahead of each position of a queue, with regard to the slots that each priority gets at least.
struct position_counter
{
    int all = 0;
    std::array<int, priorityCount> byPriority = {};

    /// Returns how many slots become free before the one for a request of this priority at the current position.
    int ahead(int priority) const
    {
        return std::min(all, slotsPerTurn * (byPriority.at(static_cast<std::size_t>(priority)) + 1) - 1);
    }

    void pass(int priority)
    {
        ++all;
        ++byPriority.at(static_cast<std::size_t>(priority));
    }
};

/// Whether a prompt refusal of a waiting request is still possible.
bool isNew(const waiting_request &entry, instant now)
{
    return now - entry.arrivedAt <= promptRefusalTime;
}

void countWaiting(slot_queue &queue, const waiting_request &entry, int difference)
{
    if (entry.claim == slot_claim::spare) {
        return;
    }
    auto &level = queue.priorities[entry.request.priority];
    level.waiting += difference;
    if (level.waiting == 0) {
        level.passedOver = 0;
    }
}

void insertWaiting(slot_queue &queue, const waiting_request &entry, instant now)
{
    countWaiting(queue, entry, 1);
    queue.waiting.insert(placeOf(queue, entry, now), entry);
}

/// Returns the time for which a request can wait for a slot without being late because of it.
duration slackOf(const slot_request &request, const slot_supply &supply)
{
    return latestFirstEvent(request, supply) - duration(static_cast<std::int64_t>(supply.firstEventMs));
}

/// Whether more urgent requests are refused more often than requests of this priority.
bool isFavoured(const slot_queue &queue, int priority, instant now)
{
    const auto own = queue.priorities.find(priority);
    const auto share = own == queue.priorities.end() ? 1 : own->second.acceptedShare;
    return std::any_of(queue.priorities.begin(), queue.priorities.end(), [&](const auto &entry) {
        const auto &[otherPriority, other] = entry;
        const bool isRefused = other.lastRefusal > instant() && now - other.lastRefusal < refusalTime;
        return otherPriority < priority && isRefused && other.acceptedShare + toleratedShare < share;
    });
}

/// Adds a request that is to be in time. Returns false if its turn would come too late.
bool enqueueInTime(slot_queue &queue, const waiting_request &entry, double freedPerMs, std::list<waiting_request> &displaced, instant now)
{
    position_counter counter;
    auto position = placeOf(queue, entry, now);
    for (auto ahead = queue.waiting.begin(); ahead != position; ++ahead) {
        counter.pass(ahead->request.priority);
    }
    const auto &level = queue.priorities[entry.request.priority];
    const bool isOvertaken = isAheadOfShare(entry.startTag, level.virtualTime, costOf(entry.request));
    const auto margin = isOvertaken ? overtakenMargin : admissionMargin;
    // Clients that come back at their time go first.
    const auto ownShare = entry.claim == slot_claim::in_time && areReturnsDue(queue.bookings, now) ? 1 - bookedShare : 1;
    const auto wait = waitFor(counter.ahead(entry.request.priority), ownShare * freedPerMs);
    if (now + duration(static_cast<std::int64_t>(margin * static_cast<double>(wait.count()))) > entry.startBy) {
        return false;
    }
    counter.pass(entry.request.priority);
    queue.waiting.insert(position, entry);
    countWaiting(queue, entry, 1);
    while (position != queue.waiting.end() && position->claim != slot_claim::spare) {
        const auto next = position++;
        if (isNew(*next, now) && now + waitFor(counter.ahead(next->request.priority), freedPerMs) > next->startBy) {
            countWaiting(queue, *next, -1);
            displaced.splice(displaced.end(), queue.waiting, next);
        } else {
            counter.pass(next->request.priority);
        }
    }
    return true;
}

} // namespace

duration latestFirstEvent(const slot_request &request, const slot_supply &supply)
{
    const bool isLongPrompt = request.untilLate > duration() && 2 * supply.readMs >= static_cast<double>(request.untilLate.count());
    const auto longest = duration(static_cast<std::int64_t>(supply.firstEventMs)) + request.untilLate / longPromptSlackDivisor;
    return isLongPrompt ? std::max(request.untilLate, longest) : request.untilLate;
}

instant endOfWait(const waiting_request &entry)
{
    const bool isKept = entry.claim != slot_claim::spare && entry.startBy - entry.arrivedAt > promptRefusalTime;
    return isKept ? entry.startBy + keptTime : entry.startBy;
}

bool isLate(const slot_request &request, const slot_supply &supply)
{
    return request.untilLate <= duration() || slackOf(request, supply) < duration();
}

std::optional<duration> enqueueRequest(slot_queue &queue,
                                       const slot_request &request,
                                       const endpoint &asker,
                                       const slot_supply &supply,
                                       std::list<waiting_request> &displaced,
                                       instant now)
{
    waiting_request entry{
        request, asker, slot_claim::in_time, now, now + slackOf(request, supply), now + latestFirstEvent(request, supply), 0};
    auto &level = queue.priorities[request.priority];
    entry.startTag = std::max(level.virtualTime, level.finishTags[request.organisation]);
    if (queue.waiting.size() >= mostWaiting) {
        return std::nullopt;
    }
    int spares = 0;
    for (const auto &other : queue.waiting) {
        const bool isSameShare = other.request.priority == request.priority && other.request.organisation == request.organisation;
        entry.startTag += isSameShare ? costOf(other.request) : 0;
        spares += other.claim == slot_claim::spare ? 1 : 0;
    }
    if (request.hasReturned && takeBooking(queue.bookings, request, now)) {
        entry.claim = slot_claim::returned;
        entry.startBy = std::max(entry.startBy, now + returnedSlack);
        entry.firstEventBy = instant::max();
    } else if (!request.excluded.empty() && !isLate(request, supply)) {
        // It had its turn already at a group that failed.
        entry.claim = slot_claim::returned;
    }
    if (entry.claim == slot_claim::returned || !(isLate(request, supply) || isFavoured(queue, request.priority, now))) {
        if (enqueueInTime(queue, entry, supply.freedPerMs, displaced, now)) {
            return endOfWait(entry) - now;
        }
    }
    if (!request.hasReturned || request.timeLeft <= duration() || spares >= mostSpares) {
        return std::nullopt;
    }
    const auto wait = std::min(request.timeLeft, longestSpareWait);
    entry.claim = slot_claim::spare;
    entry.startBy = now + wait;
    entry.firstEventBy = instant::max();
    insertWaiting(queue, entry, now);
    return wait;
}

void removeWaiting(slot_queue &queue, std::list<waiting_request>::iterator position)
{
    countWaiting(queue, *position, -1);
    queue.waiting.erase(position);
}

double expectedServed(const slot_queue &queue, double freedPerMs)
{
    return queue.servedPerMs > 0 ? std::min(freedPerMs, queue.servedPerMs) : freedPerMs;
}

void recordServed(slot_queue &queue, const slot_request &request, instant now)
{
    if (!hasClaims(queue)) {
        queue.servedPerMs = 0;
        queue.servedInWindow = 0;
        queue.windowStart = now;
    }
    ++queue.servedInWindow;
    if (const auto window = now - queue.windowStart; window >= servedWindow) {
        const auto rate = queue.servedInWindow / static_cast<double>(window.count());
        queue.servedPerMs = queue.servedPerMs > 0 ? (queue.servedPerMs + rate) / 2 : rate;
        queue.servedInWindow = 0;
        queue.windowStart = now;
    }
    for (auto &[priority, level] : queue.priorities) {
        level.passedOver += level.waiting > 0 ? 1 : 0;
    }
    auto &level = queue.priorities[request.priority];
    level.passedOver = 0;
    auto &finish = level.finishTags[request.organisation];
    level.virtualTime = std::max(level.virtualTime, finish);
    finish = level.virtualTime + costOf(request);
    if (level.finishTags.size() > mostFinishTags) {
        std::erase_if(level.finishTags, [&](const auto &entry) { return entry.second <= level.virtualTime; });
    }
}

void recordDecision(slot_queue &queue, int priority, bool isAccepted, instant now)
{
    auto &level = queue.priorities[priority];
    level.acceptedShare += newestDecisionWeight * ((isAccepted ? 1 : 0) - level.acceptedShare);
    level.lastRefusal = isAccepted ? level.lastRefusal : now;
}

std::list<waiting_request> removeOverdue(slot_queue &queue, double freedPerMs, instant now)
{
    std::list<waiting_request> overdue;
    position_counter counter;
    for (auto position = queue.waiting.begin(); position != queue.waiting.end();) {
        const auto next = position++;
        const auto wait = waitFor(counter.ahead(next->request.priority), freedPerMs).count();
        const auto slack = static_cast<double>((next->startBy - now).count());
        const bool isHopeless
            = next->claim == slot_claim::in_time && isNew(*next, now) && hopelessMargin * static_cast<double>(wait) > slack + 1;
        if (now > endOfWait(*next) || isHopeless) {
            countWaiting(queue, *next, -1);
            overdue.splice(overdue.end(), queue.waiting, next);
        } else {
            counter.pass(next->request.priority);
        }
    }
    return overdue;
}

void promoteReturned(slot_queue &queue, instant now)
{
    for (auto position = queue.waiting.begin(); position != queue.waiting.end();) {
        const auto next = position++;
        if (next->claim == slot_claim::spare && takeBooking(queue.bookings, next->request, now)) {
            auto promoted = *next;
            queue.waiting.erase(next);
            promoted.claim = slot_claim::returned;
            promoted.startBy = std::max(promoted.startBy, now + returnedSlack);
            insertWaiting(queue, promoted, now);
        }
    }
}

std::list<waiting_request>::iterator nextWaiting(slot_queue &queue)
{
    for (const auto &[priority, level] : queue.priorities) {
        if (level.waiting > 0 && level.passedOver >= slotsPerTurn - 1) {
            return std::find_if(queue.waiting.begin(), queue.waiting.end(), [wanted = priority](const waiting_request &entry) {
                return entry.request.priority == wanted;
            });
        }
    }
    return queue.waiting.begin();
}

std::list<waiting_request>::iterator findWaiting(slot_queue &queue, const slot_ticket &ticket)
{
    return std::find_if(queue.waiting.begin(), queue.waiting.end(), [&](const waiting_request &entry) {
        return entry.request.ticket == ticket.number && entry.asker == ticket.asker;
    });
}

bool hasClaims(const slot_queue &queue)
{
    return !queue.waiting.empty() && queue.waiting.front().claim != slot_claim::spare;
}

} // namespace vetchpost
