// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/peer_feed.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/dispatcher_naming.h"
#include "Libraries/Entry/feed_socket.h"
#include "Libraries/Entry/stall_report_limit.h"
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
/// How often an idle thread checks whether it should stop.
constexpr duration idlePeriod(250);
/// Datagrams that are received before anything is sent. Some hundred followers send this many in a second.
constexpr std::size_t datagramsPerRound = 256;

} // namespace

struct peer_feed::private_data
{
    const entry_settings &settings;
    const feed_timing timing;
    store_follower &store;
    shared_suspects &suspects;
    shared_constraints &constraints;
    std::function<std::vector<model_demand>()> localDemand;
    std::function<void(const stall_report &)> didReceiveStallReport;
    std::function<void(const group_stall_warning &)> didReceiveStallWarning;
    dispatcher_naming dispatcherNaming;
    feed_socket socket;

    mutable std::mutex mutex;
    feed_follower follower;
    feed_role role;
    /// The daemon that reads the key-value service for all, by the updates of this daemon's source. Permits are requested from it.
    std::optional<endpoint> origin;
    std::map<instance_id, instant> lastForwards;
    /// Set with the first request, or from the start if the system is running already.
    std::atomic<bool> wantsReplicas = false;
    std::atomic<bool> isStopping = false;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 store_follower &storeFollower,
                 shared_suspects &sharedSuspects,
                 shared_constraints &sharedConstraints,
                 dispatcher_directory &dispatchers,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> demandSource,
                 std::function<void(const stall_report &)> handleStallReport,
                 std::function<void(const group_stall_warning &)> stallWarningListener)
        : settings(entrySettings)
        , timing(feedTiming(configurationAgeLimit(entrySettings)))
        , store(storeFollower)
        , suspects(sharedSuspects)
        , constraints(sharedConstraints)
        , localDemand(std::move(demandSource))
        , didReceiveStallReport(std::move(handleStallReport))
        , didReceiveStallWarning(std::move(stallWarningListener))
        , dispatcherNaming(entrySettings, storeFollower, dispatchers, localDemand)
        , socket(counters)
    {
        wantsReplicas = !settings.isFirstStart;
        // A random start keeps answers to an earlier run of this daemon from being taken for answers to this one.
        std::random_device random;
        follower.lastNonce = random();
    }

    void run()
    {
        instant nextPush = monotonicNow();
        while (!isStopping) {
            receiveDatagrams(isSource() ? pushPeriod : untilSubscription());
            // Once for all batches that arrived together, since each call rebuilds the daemon's view.
            constraints.notifyDepartures();
            if (isSource() && monotonicNow() >= nextPush) {
                nextPush = monotonicNow() + pushPeriod;
                dispatcherNaming.chooseIfDue();
                socket.sendAll(store.pendingPushes());
            } else if (!isSource()) {
                // The changes that a relay reads itself while it has no source.
                socket.sendAll(store.pendingPushes());
                subscribeIfDue();
            }
            syncTables();
        }
    }

    /// Returns the source once it has answered; before that it may not know this daemon as a follower.
    std::optional<endpoint> answeringSource() const
    {
        const std::lock_guard lock(mutex);
        return !role.isSource && follower.hasSourceAnswered ? follower.source : std::nullopt;
    }

    void syncTables()
    {
        const auto source = answeringSource();
        const auto followers = store.activeFollowers();
        socket.sendAll(suspects.dueBatches(source, followers));
        socket.sendAll(constraints.dueBatches(source, followers));
    }

    /// Accepts batches of any daemon: one that has just changed its source may still have entries that this one lacks.
    void handle(const suspect_batch &batch, const endpoint &from)
    {
        socket.send(suspects.receiveBatch(batch, from));
        syncTables();
    }

    void handle(const constraint_batch &batch, const endpoint &from)
    {
        socket.send(constraints.receiveBatch(batch, from));
        syncTables();
    }

    void handle(const constraint_ack &ack, const endpoint &from)
    {
        constraints.receiveAck(ack, from);
    }

    /// Only the source issues permits: two daemons that issued them for one replica would exceed its limit.
    void handle(const permit_request &request, const endpoint &from)
    {
        if (isSource()) {
            socket.send({{from}, constraints.issue(request, from)});
        }
    }

    void handle(const permit_response &response, const endpoint &from)
    {
        if (from == knownOrigin()) {
            constraints.addPermits(response);
        }
    }

    std::optional<endpoint> knownOrigin() const
    {
        const std::lock_guard lock(mutex);
        return origin;
    }

    bool requestPermit(const permit_request &request)
    {
        if (isSource()) {
            constraints.addPermits(constraints.issue(request, settings.peers));
            return true;
        }
        const auto to = knownOrigin();
        if (to) {
            socket.send({{*to}, request});
        }
        return to.has_value();
    }

    void handle(const suspect_ack &ack, const endpoint &from)
    {
        suspects.receiveAck(ack, from);
    }

    duration untilSubscription() const
    {
        const std::lock_guard lock(mutex);
        const auto left = follower.source ? follower.nextSubscription - monotonicNow() : idlePeriod;
        return std::clamp(left, duration(1), idlePeriod);
    }

    /// Waits up to \a time for a datagram, and handles it and those that have arrived since. Only the latest subscription of each follower
    /// is answered: an overloaded source would otherwise answer subscriptions that have timed out, and never catch up.
    void receiveDatagrams(duration time)
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
                std::visit([&](const auto &body) { handle(body, datagram->first); }, datagram->second);
            }
        }
        for (const auto &[from, subscription] : subscriptions) {
            handle(subscription, from);
        }
    }

    void handle(const feed_subscription &subscription, const endpoint &from)
    {
        if (!servesFollowers()) {
            socket.send({{from}, feed_end()});
            return;
        }
        if (subscription.wantsReplicas) {
            store.recordTraffic();
            recordTraffic();
        }
        socket.sendAll(store.answerSubscription(subscription, from, isSource()));
    }

    /// Subscribes again at once after the first request, since the coordinator counts loads from the first request on.
    void recordTraffic()
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

    void handle(const feed_referral &referral, const endpoint &from)
    {
        const std::lock_guard lock(mutex);
        if (referral.relay != settings.peers && acceptReferral(follower, from, referral.relay, monotonicNow())) {
            feedLog.write("source_referred", {{"source", from.text()}, {"relay", referral.relay.text()}});
        }
    }

    void handle(const feed_update &update, const endpoint &from)
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
        dispatcherNaming.apply(update);
        store.applyUpdate(update, asked);
        // Sent at once, so that a relay adds nothing to the time for which the source gathers changes.
        socket.sendAll(store.pendingPushes());
    }

    void handle(const stall_report &report, const endpoint & /*from*/)
    {
        if (isSource()) {
            didReceiveStallReport(report);
        } else if (mayForwardReport(report.replica)) {
            sendToSource(report);
        }
    }

    bool mayForwardReport(const instance_id &head)
    {
        const std::lock_guard lock(mutex);
        return admitStallReport(lastForwards, head, monotonicNow());
    }

    /// Returns false if no source is known.
    bool sendToSource(const stall_report &report)
    {
        std::optional<endpoint> to;
        {
            const std::lock_guard lock(mutex);
            to = follower.source;
        }
        if (to) {
            socket.send({{*to}, report});
        }
        return to.has_value();
    }

    bool isFromSource(const endpoint &from) const
    {
        const std::lock_guard lock(mutex);
        return from == follower.source;
    }

    void handle(const group_stall_warning &warning, const endpoint &from)
    {
        if (isFromSource(from)) {
            didReceiveStallWarning(warning);
            socket.send({store.activeFollowers(), warning});
        }
    }

    void handle(const feed_end & /*message*/, const endpoint &from)
    {
        const std::lock_guard lock(mutex);
        if (from == follower.source) {
            abandonSource("the source has ended");
        }
    }

    /// Drops the source, and follows the coordinator instead if it was a relay. Requires the mutex to be held.
    void abandonSource(const std::string &why)
    {
        const auto lost = follower.source ? follower.source->text() : std::string();
        const bool hasNext = dropSource(follower, monotonicNow());
        feedLog.write("source_lost", {{"source", lost}, {"why", why}, {"next", hasNext ? follower.source->text() : std::string()}});
    }

    void subscribeIfDue()
    {
        const auto upTo = store.replicasUpTo();
        const auto daemonsHere = store.knownDaemons();
        feed_datagram datagram;
        {
            const std::lock_guard lock(mutex);
            const auto now = monotonicNow();
            if (!follower.source || now < follower.nextSubscription) {
                return;
            }
            if (hasSourceTimedOut(follower, timing.sourceTimeout, now)) {
                abandonSource("the source is silent");
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
        dispatcherNaming.addTo(std::get<feed_subscription>(datagram.message));
        demand = store.followersDemand();
        for (auto &held : localDemand()) {
            demand.push_back(std::move(held));
        }
        socket.send(datagram);
    }
};

peer_feed::peer_feed(const entry_settings &settings,
                     store_follower &store,
                     shared_suspects &suspects,
                     shared_constraints &constraints,
                     dispatcher_directory &dispatchers,
                     metrics &counters,
                     std::function<std::vector<model_demand>()> localDemand,
                     std::function<void(const stall_report &)> didReceiveStallReport,
                     std::function<void(const group_stall_warning &)> didReceiveStallWarning)
    : d(std::make_unique<private_data>(settings,
                                       store,
                                       suspects,
                                       constraints,
                                       dispatchers,
                                       counters,
                                       std::move(localDemand),
                                       std::move(didReceiveStallReport),
                                       std::move(didReceiveStallWarning)))
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

// The followers are told, so that they need not detect this daemon's silence.
void peer_feed::endRelaying()
{
    bool mustNotify = false;
    d->dispatcherNaming.end();
    {
        const std::lock_guard lock(d->mutex);
        mustNotify = !std::exchange(d->role.isEnding, true) && !d->role.isSource;
    }
    if (mustNotify) {
        d->socket.sendAll(d->store.endFeed());
    }
}

void peer_feed::setSource(bool isSource)
{
    bool wasSource = false;
    {
        const std::lock_guard lock(d->mutex);
        wasSource = vetchpost::setSource(d->role, isSource);
    }
    d->store.setSource(isSource);
    d->dispatcherNaming.setSource(isSource);
    if (wasSource != isSource) {
        d->constraints.resetPermits();
    }
    if (isSource) {
        d->store.setOrigin({d->settings.peers, 0}, 0);
    }
    if (wasSource && !isSource) {
        d->socket.sendAll(d->store.endFeed());
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

void peer_feed::recordTraffic()
{
    d->recordTraffic();
}

bool peer_feed::hasTraffic() const
{
    return d->wantsReplicas;
}

void peer_feed::syncTables()
{
    d->syncTables();
}

bool peer_feed::requestPermit(const permit_request &request)
{
    return d->requestPermit(request);
}

bool peer_feed::sendStallReport(const stall_report &report)
{
    return d->sendToSource(report);
}

void peer_feed::sendStallWarning(const instance_id &head)
{
    d->socket.send({d->store.activeFollowers(), group_stall_warning{head}});
    d->didReceiveStallWarning({head});
}

void peer_feed::pushEvacuations()
{
    d->socket.sendAll(d->store.pendingEvacuationPushes());
}

bool peer_feed::isSourceActive() const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::isSourceActive(d->follower, d->timing.sourceTimeout, monotonicNow());
}

std::optional<int> peer_feed::daemons() const
{
    const auto ownCount = d->isSource() ? std::optional(d->store.knownDaemons()) : std::nullopt;
    const std::lock_guard lock(d->mutex);
    if (ownCount) {
        // A daemon that has just become the source has no subscriptions yet.
        recordDaemonCount(d->follower, *ownCount, monotonicNow());
    }
    return d->follower.daemons;
}

} // namespace vetchpost
