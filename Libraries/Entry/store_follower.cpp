// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/store_follower_data.h"

#include "Libraries/Feed/feed_relays.h"

namespace vetchpost {

store_follower::private_data::private_data(key_value_service &service,
                                           const entry_dialect &entryDialect,
                                           const feed_timing &feedTiming,
                                           metrics &counters,
                                           std::function<void()> changeListener,
                                           std::function<void(const std::vector<replica_key> &)> leavingListener)
    : keyValue(service)
    , dialect(entryDialect)
    , timing(feedTiming)
    , didChange(std::move(changeListener))
    , didSeeLeaving(std::move(leavingListener))
    , undecodable(counters.addCounter("vetchpost_undecodable_entries_total", "Values of the key-value service that could not be read."))
{
}

bool store_follower::private_data::pause(duration time)
{
    std::unique_lock lock(mutex);
    const bool wasIdle = !hasTraffic;
    wake.wait_for(lock, time, [&] { return isStopping || (wasIdle && hasTraffic); });
    return !isStopping;
}

void store_follower::private_data::recordServiceAnswer(bool hasAnswered, const reason &why)
{
    const std::lock_guard lock(mutex);
    const auto now = monotonicNow();
    const auto silence = now - availability.lastAnswer;
    if (recordCall(availability, hasAnswered, now)) {
        storeLog.write(hasAnswered ? "store_regained" : "store_lost", {{"silent_ms", silence.count()}, {"why", why.text}});
    }
    recordEra(keyValue.era());
}

void store_follower::private_data::recordEra(store_era era)
{
    if (confirmation.restoration.era != store_era() && era > confirmation.restoration.era) {
        storeLog.write("store_restored", {{"era", era.value()}, {"up_to", replicasUpTo.number()}});
    }
    vetchpost::recordEra(confirmation, era, monotonicNow());
}

duration store_follower::private_data::recentOutage(instant now) const
{
    return outageDuration(availability, lapsedGrace, now);
}

bool store_follower::private_data::isSourceCurrent() const
{
    const std::lock_guard lock(mutex);
    const auto limit = hasFollowers() ? timing.relayWatchDelay : timing.directWatchDelay;
    return !isSource && sourceCurrentAt && monotonicNow() - *sourceCurrentAt < limit;
}

bool store_follower::private_data::hasFollowers() const
{
    return countDaemons(feed, monotonicNow()) > 1;
}

duration store_follower::private_data::maximumConfigurationAge() const
{
    return hasFollowers() ? timing.relayReadDelay : timing.directReadDelay;
}

store_follower::store_follower(key_value_service &keyValue,
                               const entry_dialect &dialect,
                               const feed_timing &timing,
                               metrics &counters,
                               std::function<void()> didChange,
                               std::function<void(const std::vector<replica_key> &)> didSeeLeaving)
    : d(std::make_unique<private_data>(keyValue, dialect, timing, counters, std::move(didChange), std::move(didSeeLeaving)))
{
}

store_follower::~store_follower()
{
    stop();
}

void store_follower::start()
{
    d->threads.emplace_back([this] { d->followConfiguration(); });
    d->threads.emplace_back([this] { d->followReplicas(); });
    if (d->areEvacuationsOn) {
        d->threads.emplace_back([this] { d->followEvacuations(); });
    }
}

void store_follower::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->isStopping = true;
    }
    d->wake.notify_all();
    for (auto &thread : d->threads) {
        thread.join();
    }
    d->threads.clear();
}

void store_follower::setSource(bool isSource)
{
    d->isSource = isSource;
    if (isSource) {
        // Locks the mutex so that a waiting thread cannot miss the wake-up.
        const std::lock_guard lock(d->mutex);
        d->wake.notify_all();
    }
}

void store_follower::recordTraffic()
{
    if (!d->hasTraffic.exchange(true)) {
        // Locks the mutex so that the waiting thread cannot miss the wake-up between its check of the flag and its wait.
        const std::lock_guard lock(d->mutex);
        d->wake.notify_all();
    }
}

void store_follower::relist()
{
    d->list(read_freshness::current);
}

void store_follower::applyUpdate(const feed_update &update, std::optional<instant> asked)
{
    d->applyUpdate(update, asked);
}

void store_follower::setColdPaced(bool isColdPaced)
{
    d->isColdPaced = isColdPaced;
}

void store_follower::updateLeaving(const std::set<replica_key> &replicas)
{
    {
        const std::lock_guard lock(d->mutex);
        vetchpost::updateLeaving(d->leaving, replicas, monotonicNow());
        if (areMarkedLeaving(*d->published, d->leaving)) {
            return;
        }
    }
    d->publish();
}

store_revision store_follower::replicasUpTo() const
{
    return d->upTo();
}

std::vector<feed_datagram> store_follower::answerSubscription(const feed_subscription &subscription, const endpoint &from, bool mayRefer)
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    d->feed.replicasCurrentAt = d->replicasCurrentAt;
    return mayRefer ? answerOrRefer(d->feed, subscription, from, now) : vetchpost::answerSubscription(d->feed, subscription, from, now);
}

std::vector<feed_datagram> store_follower::pendingPushes()
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    auto datagrams = vetchpost::pendingPushes(d->feed, now);
    if (auto dispatchers = pendingDispatchers(d->feed, now)) {
        datagrams.push_back(std::move(*dispatchers));
    }
    return datagrams;
}

void store_follower::setOrigin(const feed_origin &origin)
{
    const std::lock_guard lock(d->mutex);
    d->feed.origin = origin;
}

void store_follower::setSharingDaemons(int daemons)
{
    const std::lock_guard lock(d->mutex);
    d->feed.sharingDaemons = daemons;
    d->feed.sharingCountedAt = monotonicNow();
}

std::vector<feed_datagram> store_follower::endFeed()
{
    const std::lock_guard lock(d->mutex);
    std::vector<feed_datagram> datagrams;
    for (const auto &[id, subscriber] : std::exchange(d->feed.subscribers, {})) {
        datagrams.push_back({{subscriber.address}, feed_end()});
    }
    return datagrams;
}

std::map<model_id, int> store_follower::followersDemand(const service_id &service) const
{
    const std::lock_guard lock(d->mutex);
    return demandOf(d->feed, service, monotonicNow());
}

std::vector<model_demand> store_follower::followersDemand() const
{
    const std::lock_guard lock(d->mutex);
    return totalDemand(d->feed, monotonicNow());
}

void store_follower::setDispatchers(const dispatcher_list &dispatchers)
{
    const std::lock_guard lock(d->mutex);
    d->feed.dispatchers = dispatchers;
    d->feed.dispatchersDigest = digestOf(dispatchers);
}

std::vector<dispatcher_candidate> store_follower::dispatcherCandidates(duration window) const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::dispatcherCandidates(d->feed, window, monotonicNow());
}

std::vector<endpoint> store_follower::activeFollowers() const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::activeFollowers(d->feed, monotonicNow());
}

int store_follower::knownDaemons() const
{
    const std::lock_guard lock(d->mutex);
    return countDaemons(d->feed, monotonicNow());
}

void store_follower::setConfirmationPolicy(const confirmation_policy &policy)
{
    d->confirmation.policy = policy;
}

bool store_follower::isEraSettled() const
{
    const auto era = d->keyValue.era();
    const std::lock_guard lock(d->mutex);
    return era != store_era() && d->confirmation.settledIn == era;
}

std::shared_ptr<const route_table> store_follower::routes() const
{
    const std::lock_guard lock(d->mutex);
    return d->table;
}

std::shared_ptr<const replica_directory> store_follower::directory() const
{
    const std::lock_guard lock(d->mutex);
    return d->published;
}

std::optional<instant> store_follower::configurationCurrentAt() const
{
    const std::lock_guard lock(d->mutex);
    return d->currentAt;
}

configuration_freshness store_follower::configurationKnowledge() const
{
    const std::lock_guard lock(d->mutex);
    return {d->currentAt, d->sourceConfirmedAt, isAwaitingRewrite(d->confirmation, monotonicNow())};
}

bool store_follower::isServiceAnswering() const
{
    const std::lock_guard lock(d->mutex);
    return d->availability.isReachable;
}

std::optional<instant> store_follower::listedAt() const
{
    const std::lock_guard lock(d->mutex);
    return d->lastListing;
}

std::optional<instant> store_follower::followedSince() const
{
    const std::lock_guard lock(d->mutex);
    return d->followedSince;
}

} // namespace vetchpost
