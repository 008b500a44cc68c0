// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/peer_feed.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log feedLog("feed");
/// How long changes are gathered before the source sends them on.
constexpr duration pushPeriod(120);
/// A thread without anything to send looks this often whether it should stop.
constexpr duration idlePeriod(250);
constexpr std::size_t largestDatagram = 65536;

endpoint endpointOf(const Poco::Net::SocketAddress &address)
{
    return {address.host().toString(), address.port()};
}

} // namespace

struct peer_feed::private_data
{
    const entry_settings &settings;
    const feed_timing timing;
    store_follower &store;
    std::function<std::vector<model_demand>()> heldHere;
    std::function<void(const stall_notice &)> didHearStall;
    std::function<void(const group_doubt &)> didHearDoubt;
    counter sent;
    counter received;
    counter unreadable;

    mutable std::mutex mutex;
    feed_follower follower;
    std::optional<endpoint> source;
    bool wasHeard = false;
    instant nextSubscription;
    std::atomic<bool> isSource = false;
    /// Set with the first request, or from the start where the system runs already.
    std::atomic<bool> wantsReplicas = false;
    std::atomic<bool> isStopping = false;
    Poco::Net::DatagramSocket socket;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 store_follower &follows,
                 metrics &counters,
                 std::function<std::vector<model_demand>()> held,
                 std::function<void(const stall_notice &)> hearStall,
                 std::function<void(const group_doubt &)> hearDoubt)
        : settings(entrySettings)
        , timing(feedTiming(entrySettings.configurationApply))
        , store(follows)
        , heldHere(std::move(held))
        , didHearStall(std::move(hearStall))
        , didHearDoubt(std::move(hearDoubt))
        , sent(counters.addCounter("vetchpost_feed_datagrams_sent_total", "Datagrams sent to other daemons."))
        , received(counters.addCounter("vetchpost_feed_datagrams_received_total", "Datagrams received from other daemons."))
        , unreadable(counters.addCounter("vetchpost_feed_datagrams_unreadable_total", "Datagrams that are no message."))
    {
        wantsReplicas = !settings.isFirstStart;
        // Answers to an earlier run of this daemon must not pass for answers to this one.
        std::random_device random;
        follower.lastNonce = random();
    }

    void run()
    {
        std::vector<char> buffer(largestDatagram);
        instant nextPush = monotonicNow();
        while (!isStopping) {
            receiveFor(isSource ? pushPeriod : untilSubscription(), buffer);
            if (isSource && monotonicNow() >= nextPush) {
                nextPush = monotonicNow() + pushPeriod;
                sendAll(store.pendingPushes());
            } else if (!isSource) {
                subscribeIfDue();
            }
        }
    }

    duration untilSubscription() const
    {
        const std::lock_guard lock(mutex);
        const auto left = source ? nextSubscription - monotonicNow() : idlePeriod;
        return std::clamp(left, duration(1), idlePeriod);
    }

    /// Takes one datagram, if one comes in time.
    void receiveFor(duration time, std::vector<char> &buffer)
    {
        try {
            if (!socket.poll(timespanOf(time), Poco::Net::Socket::SELECT_READ)) {
                return;
            }
            Poco::Net::SocketAddress from;
            const auto size = socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            received.increment();
            const auto message = decodeFeedMessage({buffer.data(), static_cast<std::size_t>(std::max(0, size))});
            if (!message) {
                unreadable.increment();
                return;
            }
            std::visit([&](const auto &body) { take(body, endpointOf(from)); }, *message);
        } catch (const Poco::Exception &error) {
            // A datagram to a daemon that has ended comes back as an error; the next ones are not concerned.
            feedLog.write("receive_failed", {{"why", error.displayText()}});
        }
    }

    void take(const feed_subscription &subscription, const endpoint &from)
    {
        if (isSource) {
            sendAll(store.answerSubscription(subscription, from));
        } else {
            send({{from}, feed_end()});
        }
    }

    void take(const feed_update &update, const endpoint &from)
    {
        std::optional<instant> asked;
        {
            const std::lock_guard lock(mutex);
            if (isSource || from != source) {
                return;
            }
            const auto now = monotonicNow();
            asked = noteUpdate(follower, update, now);
            if (asked && !wasHeard) {
                wasHeard = true;
                feedLog.write("source_heard", {{"source", from.text()}, {"daemons", update.daemons}});
            }
        }
        store.takeUpdate(update, asked);
    }

    void take(const stall_notice &notice, const endpoint & /*from*/)
    {
        didHearStall(notice);
    }

    bool isFromSource(const endpoint &from) const
    {
        const std::lock_guard lock(mutex);
        return from == source;
    }

    void take(const group_doubt &doubt, const endpoint &from)
    {
        if (isFromSource(from)) {
            didHearDoubt(doubt);
        }
    }

    void take(const feed_end & /*message*/, const endpoint &from)
    {
        const std::lock_guard lock(mutex);
        if (from == source) {
            loseSource("the source has ended");
        }
    }

    /// The mutex is held.
    void loseSource(const std::string &why)
    {
        feedLog.write("source_lost", {{"source", source ? source->text() : ""}, {"why", why}});
        source.reset();
        wasHeard = false;
        follower.lastAnswer.reset();
    }

    void subscribeIfDue()
    {
        const auto upTo = store.replicasUpTo();
        auto held = heldHere();
        feed_datagram datagram;
        {
            const std::lock_guard lock(mutex);
            const auto now = monotonicNow();
            if (!source || now < nextSubscription) {
                return;
            }
            if (wasHeard && !vetchpost::isSourceHeard(follower, timing.sourceSilence, now)) {
                loseSource("the source is silent");
                return;
            }
            nextSubscription = now + timing.subscription;
            auto subscription = subscribe(follower, settings.daemon, upTo, wantsReplicas, now);
            subscription.demand = std::move(held);
            datagram = {{*source}, std::move(subscription)};
        }
        send(datagram);
    }

    void send(const feed_datagram &datagram)
    {
        const auto bytes = encodeFeedMessage(datagram.message);
        for (const auto &to : datagram.to) {
            sendBytes(to, bytes);
        }
    }

    void sendBytes(const endpoint &to, const std::string &bytes)
    {
        try {
            socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(to.host, to.port));
            sent.increment();
        } catch (const Poco::Exception &error) {
            feedLog.write("send_failed", {{"to", to.text()}, {"why", error.displayText()}});
        }
    }

    void sendAll(const std::vector<feed_datagram> &datagrams)
    {
        for (const auto &datagram : datagrams) {
            send(datagram);
        }
    }
};

peer_feed::peer_feed(const entry_settings &settings,
                     store_follower &store,
                     metrics &counters,
                     std::function<std::vector<model_demand>()> heldHere,
                     std::function<void(const stall_notice &)> didHearStall,
                     std::function<void(const group_doubt &)> didHearDoubt)
    : d(std::make_unique<private_data>(settings, store, counters, std::move(heldHere), std::move(didHearStall), std::move(didHearDoubt)))
{
}

peer_feed::~peer_feed()
{
    stop();
}

void peer_feed::start()
{
    d->socket.bind(Poco::Net::SocketAddress(d->settings.peers.host, d->settings.peers.port), true);
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

void peer_feed::setSource(bool isSource)
{
    const bool was = d->isSource.exchange(isSource);
    d->store.setSource(isSource);
    if (was && !isSource) {
        d->sendAll(d->store.endOfFeed());
    }
}

void peer_feed::follow(const endpoint &source)
{
    const std::lock_guard lock(d->mutex);
    if (d->source != source) {
        d->source = source;
        d->wasHeard = false;
        d->follower.lastAnswer.reset();
        d->nextSubscription = monotonicNow();
    }
}

void peer_feed::noteTraffic()
{
    if (!d->wantsReplicas.exchange(true)) {
        const std::lock_guard lock(d->mutex);
        d->nextSubscription = monotonicNow();
    }
}

bool peer_feed::tellStall(const stall_notice &notice)
{
    std::optional<endpoint> to;
    {
        const std::lock_guard lock(d->mutex);
        to = d->source;
    }
    if (to) {
        d->send({{*to}, notice});
    }
    return to.has_value();
}

void peer_feed::tellDoubt(const instance_id &head)
{
    d->send({d->store.heardFollowers(), group_doubt{head}});
    d->didHearDoubt({head});
}

bool peer_feed::isSourceHeard() const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::isSourceHeard(d->follower, d->timing.sourceSilence, monotonicNow());
}

std::optional<int> peer_feed::daemons() const
{
    const auto heard = d->isSource ? std::optional(d->store.daemonsHeard()) : std::nullopt;
    const std::lock_guard lock(d->mutex);
    if (heard) {
        // A daemon that has just become the source has heard nobody yet.
        noteDaemons(d->follower, *heard, monotonicNow());
    }
    return d->follower.daemons;
}

} // namespace vetchpost
