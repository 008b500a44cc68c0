// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/dispatch_client.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Dispatch/dispatcher_silence.h"
#include "Libraries/Entry/random_number.h"

#include <poll.h>

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

constexpr event_log dispatchLog("dispatch");
/// A dispatcher answers within a network round trip and one scheduling period of a small instance.
constexpr duration firstAnswerTimeout(25);
/// How much longer than the wait that the dispatcher expects a request waits for its second answer.
constexpr duration secondAnswerMargin(50);
/// How often a waiting request checks whether its client has disconnected.
constexpr duration clientCheckPeriod(50);
/// Silent dispatchers and releases are remembered for this many addresses; more than are ever named at a time.
constexpr std::size_t maxKnownDispatchers = 256;
/// JSON readers that keep numbers as doubles read tickets below this one exactly.
constexpr std::uint64_t ticketRange = 1ULL << 52U;

/// What is known of one dispatcher.
struct dispatcher_state
{
    dispatcher_silence silence;
    /// The last releases, the oldest first.
    std::deque<slot_release> releases;

    std::vector<slot_release> recentReleases() const
    {
        return {releases.begin(), releases.end()};
    }
};

/// A request that waits for an answer.
struct pending_request
{
    endpoint dispatcher;
    std::optional<slot_answer> answer;
    std::condition_variable wake;
};

bool hasClientLeft(int clientSocket)
{
    pollfd polled{clientSocket, POLLRDHUP, 0};
    return clientSocket >= 0 && poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string describe(const named_dispatcher &dispatcher, std::string_view what, duration waited)
{
    return fmt::format("{}: {} after {} ms", dispatcher.daemon.value(), what, waited.count());
}

} // namespace

struct dispatch_client::private_data
{
    dispatch_socket &socket;
    const dispatcher_directory &directory;
    counter granted;
    counter refused;
    counter unknownModel;
    counter timedOut;
    counter notAsked;
    counter unused;
    counter callerLeft;
    histogram waitTime;

    std::mutex mutex;
    std::uint64_t lastTicket = randomNumber() % ticketRange;
    std::uint64_t turn = randomNumber() % ticketRange;
    std::map<std::uint64_t, pending_request *> pending;
    std::map<endpoint, dispatcher_state> dispatchers;

    private_data(dispatch_socket &dispatchSocket, const dispatcher_directory &dispatcherDirectory, metrics &counters)
        : socket(dispatchSocket)
        , directory(dispatcherDirectory)
        , granted(counterFor(counters, "granted"))
        , refused(counterFor(counters, "refused"))
        , unknownModel(counterFor(counters, "unknown_model"))
        , timedOut(counterFor(counters, "no_answer"))
        , notAsked(counterFor(counters, "not_asked"))
        , unused(counterFor(counters, "unused"))
        , callerLeft(counterFor(counters, "caller_left"))
        , waitTime(counters.addTimeHistogram("vetchpost_slot_wait_seconds", "Time until a dispatcher granted or refused a slot."))
    {
    }

    static counter counterFor(metrics &counters, const std::string &answer)
    {
        return counters.addCounter("vetchpost_slot_requests_total", "Requests for slots, by how they ended.", {{"answer", answer}});
    }

    dispatcher_state &stateOf(const endpoint &address)
    {
        if (dispatchers.size() >= maxKnownDispatchers && !dispatchers.contains(address)) {
            dispatchers.clear();
        }
        return dispatchers[address];
    }

    /// Adds a release and returns the datagram that repeats the last ones. Requires the mutex to be held.
    slot_release_message addRelease(const endpoint &dispatcher, const slot_release &release)
    {
        auto &releases = stateOf(dispatcher).releases;
        releases.push_back(release);
        if (releases.size() > repeatedReleases) {
            releases.pop_front();
        }
        return {stateOf(dispatcher).recentReleases()};
    }

    void recordSilence(const named_dispatcher &dispatcher, instant asked)
    {
        bool isNew = false;
        {
            const std::lock_guard lock(mutex);
            isNew = recordTimeout(stateOf(dispatcher.address).silence, asked, monotonicNow());
        }
        timedOut.increment();
        if (isNew) {
            dispatchLog.write("dispatcher_silent", {{"dispatcher", dispatcher.daemon.value()}, {"address", dispatcher.address.text()}});
        }
    }

    void recordAnswered(const named_dispatcher &dispatcher)
    {
        bool wasSilent = false;
        {
            const std::lock_guard lock(mutex);
            wasSilent = recordAnswer(stateOf(dispatcher.address).silence);
        }
        if (wasSilent) {
            dispatchLog.write("dispatcher_back", {{"dispatcher", dispatcher.daemon.value()}, {"address", dispatcher.address.text()}});
        }
    }

    /// Gives up a request that waits or may have been granted.
    void withdraw(const slot_place &place)
    {
        slot_release_message message;
        {
            const std::lock_guard lock(mutex);
            message = addRelease(place.dispatcher.address, {place.ticket, slot_end::done});
        }
        socket.send(place.dispatcher.address, message);
    }

    /// Waits for an answer until \a until. Returns nothing on a timeout, or if the client has left, which sets \a hasLeft.
    std::optional<slot_answer> awaitAnswer(pending_request &request, instant until, int clientSocket, bool &hasLeft)
    {
        std::unique_lock lock(mutex);
        const auto isAnswered = [&] { return request.answer.has_value(); };
        for (auto now = monotonicNow(); !isAnswered() && now < until; now = monotonicNow()) {
            request.wake.wait_for(lock, std::min(clientCheckPeriod, until - now), isAnswered);
            if (!isAnswered() && hasClientLeft(clientSocket)) {
                hasLeft = true;
                return std::nullopt;
            }
        }
        return std::exchange(request.answer, std::nullopt);
    }

    placement finish(const slot_place &place, const std::optional<slot_answer> &answer, bool hasLeft, instant asked, instant deadline)
    {
        placement result;
        const auto now = monotonicNow();
        const auto waited = now - asked;
        if (!answer) {
            withdraw(place);
            result.end = hasLeft ? placement_end::caller_left : placement_end::unplaced;
            result.text = describe(place.dispatcher, hasLeft ? "the caller left" : "no answer", waited);
            if (hasLeft) {
                callerLeft.increment();
            } else if (now < deadline) {
                recordSilence(place.dispatcher, asked);
            } else {
                // Nothing is known of the dispatcher: the request had less time left than an answer may take.
                timedOut.increment();
            }
            return result;
        }
        result.text = describe(place.dispatcher, slotVerdictName(answer->verdict), waited);
        if (answer->verdict == slot_verdict::unknown_model) {
            unknownModel.increment();
            return result;
        }
        waitTime.observe(secondsOf(waited));
        if (answer->verdict == slot_verdict::refused) {
            refused.increment();
            result.end = placement_end::refused;
            result.retryAfter = answer->wait;
            return result;
        }
        granted.increment();
        result.end = placement_end::granted;
        result.head = answer->head;
        result.place = place;
        return result;
    }

    placement ask(slot_request request, const named_dispatcher &dispatcher, int clientSocket)
    {
        pending_request waiting{dispatcher.address};
        slot_request_message message;
        const auto asked = monotonicNow();
        const auto deadline = asked + request.timeLeft;
        {
            const std::lock_guard lock(mutex);
            request.ticket = ++lastTicket;
            pending[request.ticket] = &waiting;
            message = {std::move(request), stateOf(dispatcher.address).recentReleases()};
        }
        const slot_place place{dispatcher, message.request.ticket};
        bool hasLeft = false;
        std::optional<slot_answer> answer;
        if (socket.send(dispatcher.address, message)) {
            answer = awaitAnswer(waiting, std::min(deadline, asked + firstAnswerTimeout), -1, hasLeft);
            while (answer && answer->verdict == slot_verdict::waiting) {
                recordAnswered(dispatcher);
                const auto until = monotonicNow() + answer->wait + secondAnswerMargin;
                answer = awaitAnswer(waiting, std::min(deadline, until), clientSocket, hasLeft);
            }
        }
        {
            const std::lock_guard lock(mutex);
            pending.erase(place.ticket);
            // The answer may have arrived after the wait.
            answer = answer || hasLeft ? answer : waiting.answer;
        }
        if (answer) {
            recordAnswered(dispatcher);
        }
        return finish(place, answer && answer->verdict != slot_verdict::waiting ? answer : std::nullopt, hasLeft, asked, deadline);
    }
};

dispatch_client::dispatch_client(dispatch_socket &socket, const dispatcher_directory &directory, metrics &counters)
    : d(std::make_unique<private_data>(socket, directory, counters))
{
}

dispatch_client::~dispatch_client() = default;

// Each dispatcher decides on its own groups only. The turns go over the groups rather than over the dispatchers, so that a dispatcher with
// more groups gets more requests and one without any gets none. A turn of a silent dispatcher is not passed to another one, which would
// refuse requests for which the silent one's groups have room.
placement dispatch_client::requestPlace(slot_request request, const std::vector<backend> &candidates, int clientSocket)
{
    const auto list = d->directory.current();
    const auto *named = findDispatchers(*list, request.service, request.model);
    std::vector<const backend *> open;
    for (const auto &candidate : candidates) {
        if (std::find(request.excluded.begin(), request.excluded.end(), candidate.replica) == request.excluded.end()) {
            open.push_back(&candidate);
        }
    }
    if (named == nullptr || open.empty()) {
        d->notAsked.increment();
        return {};
    }
    const auto count = named->dispatchers.size();
    std::size_t chosen = 0;
    bool isAsked = false;
    {
        const std::lock_guard lock(d->mutex);
        chosen = dispatcherIndex(open[++d->turn % open.size()]->replica, count);
        isAsked = mayAsk(d->stateOf(named->dispatchers[chosen].address).silence, monotonicNow());
    }
    const auto &dispatcher = named->dispatchers[chosen];
    placement result;
    if (isAsked) {
        result = d->ask(std::move(request), dispatcher, clientSocket);
    } else {
        d->notAsked.increment();
        result.text = dispatcher.daemon.value() + ": not asked, it does not answer";
    }
    if (result.end == placement_end::unplaced) {
        for (const auto *candidate : open) {
            if (dispatcherIndex(candidate->replica, count) != chosen) {
                result.headsOfOthers.push_back(candidate->replica);
            }
        }
    }
    return result;
}

void dispatch_client::release(const slot_place &place, slot_end end)
{
    slot_release_message message;
    {
        const std::lock_guard lock(d->mutex);
        message = d->addRelease(place.dispatcher.address, {place.ticket, end});
    }
    d->socket.send(place.dispatcher.address, message);
}

void dispatch_client::releaseUnused(const slot_place &place)
{
    d->unused.increment();
    d->withdraw(place);
}

void dispatch_client::handleAnswer(const slot_answer &answer, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    const auto found = d->pending.find(answer.ticket);
    if (found == d->pending.end() || found->second->dispatcher != from) {
        return;
    }
    auto &known = found->second->answer;
    // A duplicate of the first answer must not replace the second one.
    if (known && known->verdict != slot_verdict::waiting) {
        return;
    }
    known = answer;
    found->second->wake.notify_one();
}

} // namespace vetchpost
