// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/peer_feed.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/feed_socket.h"
#include "Libraries/Entry/notice_pacing.h"
#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Feed/feed_relays.h"
#include "Libraries/Feed/feed_role.h"

#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace vetchpost {

namespace {

constexpr event_log feedLog("feed");
/// How long changes are gathered before the source sends them on.
constexpr duration pushPeriod(120);
/// A thread without anything to send looks this often whether it should stop.
constexpr duration idlePeriod(250);
/// Datagrams that are taken before anything is sent: a second's from some hundred followers.
constexpr std::size_t datagramsPerRound = 256;

} // namespace

struct peer_feed::private_data
{
    const entry_settings &settings;
    const feed_timing timing;
    store_follower &store;
    shared_suspects &suspects;
    shared_constraints &constraints;
    std::function<std::vector<model_demand>()> heldHere;
    std::function<void(const stall_report &)> didHearStall;
    std::function<void(const group_stall_warning &)> didHearDoubt;
    feed_socket socket;

    mutable std::mutex mutex;
    feed_follower follower;
    feed_role role;
    /// Where what this daemon is fed was read.
    std::optional<endpoint> origin;
    std::map<instance_id, instant> passedNotices;
    /// Set with the first request, or from the start where the system runs already.
    std::atomic<bool> wantsReplicas = false;
    std::atomic<bool> isStopping = false;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 store_follower &follows,
                 shared_suspects &shared,
                 shared_constraints &sharedConstraints,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> held,
                 std::function<void(const stall_report &)> hearStall,
                 std::function<void(const group_stall_warning &)> hearDoubt)
        : settings(entrySettings)
        , timing(feedTiming(oldestConfiguration(entrySettings)))
        , store(follows)
        , suspects(shared)
        , constraints(sharedConstraints)
        , heldHere(std::move(held))
        , didHearStall(std::move(hearStall))
        , didHearDoubt(std::move(hearDoubt))
        , socket(counters)
    {
        wantsReplicas = !settings.isFirstStart;
        // Answers to an earlier run of this daemon must not pass for answers to this one.
        std::random_device random;
        follower.lastNonce = random();
    }

    void run()
    {
        instant nextPush = monotonicNow();
        while (!isStopping) {
            receiveFor(isSource() ? pushPeriod : untilSubscription());
            // Once for all that came together: each time the daemon's view is made anew.
            constraints.tellLearned();
            if (isSource() && monotonicNow() >= nextPush) {
                nextPush = monotonicNow() + pushPeriod;
                socket.sendAll(store.pendingPushes());
            } else if (!isSource()) {
                // What a relay reads itself while it has no source.
                socket.sendAll(store.pendingPushes());
                subscribeIfDue();
            }
            spreadTables();
        }
    }

    /// A source that has not answered yet may not know this daemon as a follower.
    std::optional<endpoint> heardSource() const
    {
        const std::lock_guard lock(mutex);
        return !role.isSource && follower.hasSourceAnswered ? follower.source : std::nullopt;
    }

    void spreadTables()
    {
        const auto source = heardSource();
        const auto followers = store.activeFollowers();
        socket.sendAll(suspects.due(source, followers));
        socket.sendAll(constraints.due(source, followers));
    }

    /// From any daemon: one that has just found another source may still hold what this one lacks.
    void take(const suspect_batch &list, const endpoint &from)
    {
        socket.send(suspects.take(list, from));
        spreadTables();
    }

    void take(const constraint_batch &list, const endpoint &from)
    {
        socket.send(constraints.take(list, from));
        spreadTables();
    }

    void take(const constraint_ack &receipt, const endpoint &from)
    {
        constraints.take(receipt, from);
    }

    /// Of the source alone: two daemons that issued permits for one replica would exceed its limit.
    void take(const permit_question &question, const endpoint &from)
    {
        if (isSource()) {
            socket.send({{from}, constraints.issue(question, from)});
        }
    }

    void take(const permit_answer &answer, const endpoint &from)
    {
        if (from == knownOrigin()) {
            constraints.take(answer);
        }
    }

    std::optional<endpoint> knownOrigin() const
    {
        const std::lock_guard lock(mutex);
        return origin;
    }

    bool askForPermit(const permit_question &question)
    {
        if (isSource()) {
            constraints.take(constraints.issue(question, settings.peers));
            return true;
        }
        const auto to = knownOrigin();
        if (to) {
            socket.send({{*to}, question});
        }
        return to.has_value();
    }

    void take(const suspect_ack &receipt, const endpoint &from)
    {
        suspects.take(receipt, from);
    }

    duration untilSubscription() const
    {
        const std::lock_guard lock(mutex);
        const auto left = follower.source ? follower.nextSubscription - monotonicNow() : idlePeriod;
        return std::clamp(left, duration(1), idlePeriod);
    }

    /// Takes the datagrams that are there, or the first that comes in time. Of the subscriptions of one follower only the latest is
    /// answered: a source that is behind would else answer questions whose askers no longer wait, and never catch up.
    void receiveFor(duration time)
    {
        std::map<endpoint, feed_subscription> subscriptions;
        auto wait = time;
        for (std::size_t count = 0; count < datagramsPerRound; ++count) {
            const auto datagram = socket.receive(wait);
            if (!datagram) {
                break;
            }
            wait = duration(0);
            if (const auto *subscription = std::get_if<feed_subscription>(&datagram->second)) {
                subscriptions.insert_or_assign(datagram->first, *subscription);
            } else {
                std::visit([&](const auto &body) { take(body, datagram->first); }, datagram->second);
            }
        }
        for (const auto &[from, subscription] : subscriptions) {
            take(subscription, from);
        }
    }

    void take(const feed_subscription &subscription, const endpoint &from)
    {
        if (!servesFollowers()) {
            socket.send({{from}, feed_end()});
            return;
        }
        if (subscription.wantsReplicas) {
            store.noteTraffic();
            noteTraffic();
        }
        socket.sendAll(store.answerSubscription(subscription, from, isSource()));
    }

    /// Tells its own source at once: the coordinator's loads are counted from the first request on.
    void noteTraffic()
    {
        if (!wantsReplicas.exchange(true)) {
            const std::lock_guard lock(mutex);
            follower.nextSubscription = monotonicNow();
        }
    }

    bool servesFollowers() const
    {
        const std::lock_guard lock(mutex);
        return vetchpost::servesFollowers(role);
    }

    bool isSource() const
    {
        const std::lock_guard lock(mutex);
        return role.isSource;
    }

    void take(const feed_referral &referral, const endpoint &from)
    {
        const std::lock_guard lock(mutex);
        if (referral.relay != settings.peers && acceptReferral(follower, from, referral.relay, monotonicNow())) {
            feedLog.write("source_referred", {{"source", from.text()}, {"relay", referral.relay.text()}});
        }
    }

    void take(const feed_update &update, const endpoint &from)
    {
        std::optional<instant> asked;
        {
            const std::lock_guard lock(mutex);
            if (role.isSource || from != follower.source) {
                return;
            }
            const auto now = monotonicNow();
            asked = acceptUpdate(follower, update, now);
            if (asked) {
                role.hasReceivedFeed = true;
                origin = update.origin.source;
                store.setOrigin({update.origin.source, update.origin.hops + 1}, follower.daemons.value_or(0));
            }
            if (asked && !follower.hasSourceAnswered) {
                follower.hasSourceAnswered = true;
                feedLog.write("source_heard", {{"source", from.text()}, {"hops", update.origin.hops}, {"daemons", update.daemons}});
            }
        }
        store.takeUpdate(update, asked);
        // At once, so that a relay adds nothing to the time for which the source gathers changes.
        socket.sendAll(store.pendingPushes());
    }

    void take(const stall_report &notice, const endpoint & /*from*/)
    {
        if (isSource()) {
            didHearStall(notice);
        } else if (mayPassNotice(notice.replica)) {
            sendToSource(notice);
        }
    }

    bool mayPassNotice(const instance_id &head)
    {
        const std::lock_guard lock(mutex);
        return mayNotice(passedNotices, head, monotonicNow());
    }

    /// False where no source is known.
    bool sendToSource(const stall_report &notice)
    {
        std::optional<endpoint> to;
        {
            const std::lock_guard lock(mutex);
            to = follower.source;
        }
        if (to) {
            socket.send({{*to}, notice});
        }
        return to.has_value();
    }

    bool isFromSource(const endpoint &from) const
    {
        const std::lock_guard lock(mutex);
        return from == follower.source;
    }

    void take(const group_stall_warning &doubt, const endpoint &from)
    {
        if (isFromSource(from)) {
            didHearDoubt(doubt);
            socket.send({store.activeFollowers(), doubt});
        }
    }

    void take(const feed_end & /*message*/, const endpoint &from)
    {
        const std::lock_guard lock(mutex);
        if (from == follower.source) {
            giveUpSource("the source has ended");
        }
    }

    /// The mutex is held.
    void giveUpSource(const std::string &why)
    {
        const auto lost = follower.source ? follower.source->text() : std::string();
        const bool hasNext = dropSource(follower, monotonicNow());
        feedLog.write("source_lost", {{"source", lost}, {"why", why}, {"next", hasNext ? follower.source->text() : std::string()}});
    }

    void subscribeIfDue()
    {
        const auto upTo = store.replicasUpTo();
        const auto daemonsHere = store.daemonsHeard();
        feed_datagram datagram;
        {
            const std::lock_guard lock(mutex);
            const auto now = monotonicNow();
            if (!follower.source || now < follower.nextSubscription) {
                return;
            }
            if (hasSourceTimedOut(follower, timing.sourceTimeout, now)) {
                giveUpSource("the source is silent");
                return;
            }
            follower.nextSubscription = now + (daemonsHere > 1 ? timing.relaySubscriptionPeriod : timing.subscription);
            auto subscription = makeSubscription(follower, settings.daemon, upTo, wantsReplicas, now);
            subscription.dataCentre = settings.dataCentre;
            subscription.isEnding = role.isEnding;
            subscription.daemons = daemonsHere;
            datagram = {{*follower.source}, std::move(subscription)};
        }
        auto &demand = std::get<feed_subscription>(datagram.message).demand;
        demand = store.followersDemand();
        for (auto &held : heldHere()) {
            demand.push_back(std::move(held));
        }
        socket.send(datagram);
    }
};

peer_feed::peer_feed(const entry_settings &settings,
                     store_follower &store,
                     shared_suspects &suspects,
                     shared_constraints &constraints,
                     metrics &counters,
                     std::function<std::vector<model_demand>()> heldHere,
                     std::function<void(const stall_report &)> didHearStall,
                     std::function<void(const group_stall_warning &)> didHearDoubt)
    : d(std::make_unique<private_data>(
        settings, store, suspects, constraints, counters, std::move(heldHere), std::move(didHearStall), std::move(didHearDoubt)))
{
}

peer_feed::~peer_feed()
{
    stop();
}

void peer_feed::start()
{
    d->socket.bind(d->settings.peers);
    d->thread = std::thread([this] { d->run(); });
}

void peer_feed::stop()
{
    if (d->isStopping.exchange(true)) {
        return;
    }
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

// Those that this daemon passes the feed on to need not wait until it is silent.
void peer_feed::endPassingOn()
{
    bool mustTell = false;
    {
        const std::lock_guard lock(d->mutex);
        mustTell = !std::exchange(d->role.isEnding, true) && !d->role.isSource;
    }
    if (mustTell) {
        d->socket.sendAll(d->store.endOfFeed());
    }
}

void peer_feed::setSource(bool isSource)
{
    bool was = false;
    {
        const std::lock_guard lock(d->mutex);
        was = vetchpost::setSource(d->role, isSource);
    }
    d->store.setSource(isSource);
    if (was != isSource) {
        d->constraints.beginIssuing();
    }
    if (isSource) {
        d->store.setOrigin({d->settings.peers, 0}, 0);
    }
    if (was && !isSource) {
        d->socket.sendAll(d->store.endOfFeed());
    }
}

bool peer_feed::isSource() const
{
    return d->isSource();
}

void peer_feed::follow(const endpoint &source)
{
    const std::lock_guard lock(d->mutex);
    vetchpost::follow(d->follower, source, monotonicNow());
}

void peer_feed::noteTraffic()
{
    d->noteTraffic();
}

bool peer_feed::hasTraffic() const
{
    return d->wantsReplicas;
}

void peer_feed::spreadTables()
{
    d->spreadTables();
}

bool peer_feed::askForPermit(const permit_question &question)
{
    return d->askForPermit(question);
}

bool peer_feed::tellStall(const stall_report &notice)
{
    return d->sendToSource(notice);
}

void peer_feed::tellDoubt(const instance_id &head)
{
    d->socket.send({d->store.activeFollowers(), group_stall_warning{head}});
    d->didHearDoubt({head});
}

bool peer_feed::isSourceActive() const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::isSourceActive(d->follower, d->timing.sourceTimeout, monotonicNow());
}

std::optional<int> peer_feed::daemons() const
{
    const auto heard = d->isSource() ? std::optional(d->store.daemonsHeard()) : std::nullopt;
    const std::lock_guard lock(d->mutex);
    if (heard) {
        // A daemon that has just become the source has heard nobody yet.
        recordDaemonCount(d->follower, *heard, monotonicNow());
    }
    return d->follower.daemons;
}

} // namespace vetchpost
