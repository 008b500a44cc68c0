// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/peer_feed.h"

#include "Libraries/Entry/peer_feed_data.h"

#include <random>
#include <utility>

namespace vetchpost {

namespace {

/// How long changes are gathered before the source sends them on.
constexpr duration pushPeriod(120);
/// How often an idle thread checks whether it should stop.
constexpr duration idlePeriod(250);

} // namespace

peer_feed::private_data::private_data(const entry_settings &entrySettings,
                                      store_follower &storeFollower,
                                      const shared_tables &sharedTables,
                                      dispatcher_directory &dispatchers,
                                      metrics &counters,
                                      std::function<std::vector<model_demand>()> demandSource,
                                      std::function<void(const stall_report &)> handleStallReport,
                                      std::function<void(const group_stall_warning &)> stallWarningListener)
    : settings(entrySettings)
    , timing(feedTiming(configurationAgeLimit(entrySettings)))
    , store(storeFollower)
    , tables(sharedTables)
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

void peer_feed::private_data::run()
{
    instant nextPush = monotonicNow();
    while (!isStopping) {
        receiveDatagrams(isSource() ? pushPeriod : untilSubscription());
        countDaemons();
        // Once for all batches that arrived together, since each call rebuilds the daemon's view.
        tables.constraints.notifyDepartures();
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

void peer_feed::private_data::countDaemons()
{
    if (!isSource()) {
        return;
    }
    const auto here = store.knownDaemons();
    const std::lock_guard lock(mutex);
    const auto now = monotonicNow();
    recordOwnCount(follower, here, now);
    store.setSharingDaemons(vetchpost::knownDaemons(follower, now).value_or(0));
}

std::optional<endpoint> peer_feed::private_data::answeringSource() const
{
    const std::lock_guard lock(mutex);
    return !role.isSource && follower.hasSourceAnswered ? follower.source : std::nullopt;
}

void peer_feed::private_data::syncTables()
{
    const auto source = answeringSource();
    const auto followers = store.activeFollowers();
    socket.sendAll(tables.suspects.dueBatches(source, followers));
    socket.sendAll(tables.constraints.dueBatches(source, followers));
    socket.sendAll(tables.proxies.dueBatches(source, followers));
    socket.sendAll(tables.parts.dueBatches(source, followers));
}

std::optional<endpoint> peer_feed::private_data::knownOrigin() const
{
    const std::lock_guard lock(mutex);
    return origin;
}

bool peer_feed::private_data::requestPermit(const permit_request &request)
{
    if (isSource()) {
        tables.constraints.addPermits(tables.constraints.issue(request, announcedPeers(settings)));
        return true;
    }
    const auto to = knownOrigin();
    if (to) {
        socket.send({{*to}, request});
    }
    return to.has_value();
}

duration peer_feed::private_data::untilSubscription() const
{
    const std::lock_guard lock(mutex);
    const auto left = follower.source ? follower.nextSubscription - monotonicNow() : idlePeriod;
    return std::clamp(left, duration(1), idlePeriod);
}

// Subscribes again at once, since the coordinator counts loads from the first request on.
void peer_feed::private_data::recordTraffic()
{
    if (!wantsReplicas.exchange(true)) {
        const std::lock_guard lock(mutex);
        follower.nextSubscription = monotonicNow();
    }
}

bool peer_feed::private_data::servesFollowers() const
{
    const std::lock_guard lock(mutex);
    return vetchpost::servesFollowers(role);
}

bool peer_feed::private_data::isSource() const
{
    const std::lock_guard lock(mutex);
    return role.isSource;
}

bool peer_feed::private_data::sendToSource(const stall_report &report)
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

void peer_feed::private_data::abandonSource(const std::string &why)
{
    const auto lost = follower.source ? follower.source->text() : std::string();
    const bool hasNext = dropSource(follower, monotonicNow());
    feedLog.write("source_lost", {{"source", lost}, {"why", why}, {"next", hasNext ? follower.source->text() : std::string()}});
}

void peer_feed::private_data::subscribeIfDue()
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

peer_feed::peer_feed(const entry_settings &settings,
                     store_follower &store,
                     const shared_tables &tables,
                     dispatcher_directory &dispatchers,
                     metrics &counters,
                     std::function<std::vector<model_demand>()> localDemand,
                     std::function<void(const stall_report &)> didReceiveStallReport,
                     std::function<void(const group_stall_warning &)> didReceiveStallWarning)
    : d(std::make_unique<private_data>(settings,
                                       store,
                                       tables,
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
        if (isSource && !wasSource) {
            beginCounting(d->follower, monotonicNow());
        }
    }
    d->store.setSource(isSource);
    d->dispatcherNaming.setSource(isSource);
    if (wasSource != isSource) {
        d->tables.constraints.resetPermits();
    }
    if (isSource) {
        d->store.setOrigin({announcedPeers(d->settings), 0});
        d->countDaemons();
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

bool peer_feed::needsPredecessorCount() const
{
    const std::lock_guard lock(d->mutex);
    return d->role.isSource && !d->follower.mayCountDaemons;
}

void peer_feed::setPredecessorCount(int daemons)
{
    const std::lock_guard lock(d->mutex);
    if (d->role.isSource) {
        vetchpost::setPredecessorCount(d->follower, daemons, monotonicNow());
    }
}

std::optional<counted_daemons> peer_feed::daemonCount() const
{
    const std::lock_guard lock(d->mutex);
    return knownDaemonCount(d->follower, monotonicNow());
}

std::optional<int> peer_feed::daemons() const
{
    const auto known = daemonCount();
    return known ? std::optional(known->daemons) : std::nullopt;
}

} // namespace vetchpost
