// SPDX-License-Identifier: Apache-2.0
#include "Tests/Feed/feedSimulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

constexpr duration tickTime(10);
constexpr duration transitTime(1);
constexpr duration pushPeriod(120);
constexpr std::uint16_t basePort = 7000;

/// Returns a change whose encoded entry is as long as on a real platform.
replica_change makeChange(store_revision revision, std::uint64_t replicas)
{
    replica_change change{instance_id(fmt::format("i-{:010}", revision.number() % replicas)), revision, served_replica()};
    change.replica->id = change.id;
    change.replica->service = service_id("gode75a");
    change.replica->address = {"10.200.164.182", 18261};
    change.replica->dataCentre = data_centre_id("sala-pamplona");
    change.replica->domain = fabric_domain_id("domain-12");
    change.replica->membership = {group_id("g1071900012"), formation(1071900012), 3, member_state::ready};
    return change;
}

} // namespace

feed_simulation::feed_simulation(int daemons, int dataCentres)
    : m_nodes(static_cast<std::size_t>(daemons))
{
    for (int number = 0; number < daemons; ++number) {
        auto &next = m_nodes[static_cast<std::size_t>(number)];
        next.address = {"10.0.0.1", static_cast<std::uint16_t>(basePort + number)};
        next.dataCentre = data_centre_id(fmt::format("centre-{}", number % dataCentres));
        resetNode(next);
        // The daemons start within 0.3 s of each other.
        next.follower.nextSubscription = m_now + duration(number * 7 % 300);
        follow(next.follower, m_nodes.front().address, next.follower.nextSubscription);
    }
    m_nodes.front().role.isSource = true;
    m_nodes.front().feed.origin = {m_nodes.front().address, 0};
}

void feed_simulation::advance(duration time)
{
    for (const auto end = m_now + time; m_now < end;) {
        tick();
    }
}

void feed_simulation::tick()
{
    m_now += tickTime;
    while (!m_inFlight.empty() && m_inFlight.front().arrives <= m_now) {
        const auto datagram = m_inFlight.front();
        m_inFlight.pop_front();
        deliver(datagram);
    }
    const bool isPushTime = m_now >= m_nextPush;
    m_nextPush = isPushTime ? m_now + pushPeriod : m_nextPush;
    for (int number = 0; number < daemons(); ++number) {
        auto &next = m_nodes[static_cast<std::size_t>(number)];
        if (m_now < next.suspendedUntil) {
            continue;
        }
        const bool hasFollowers = countDaemons(next.feed, m_now) > 1;
        const auto limit = next.role.isSource ? m_timing.sourceReadPeriod
            : hasFollowers                    ? m_timing.relayReadDelay
                                              : m_timing.directReadDelay;
        if (m_now - next.currentAt >= limit && !next.isDisconnected) {
            read(next);
        }
        if (next.role.isSource && isPushTime) {
            updateDaemonCount(number);
            push(number);
        } else if (!next.role.isSource) {
            push(number);
            subscribeIfDue(number);
        }
        syncSuspects(number);
        if (didTick) {
            didTick(number);
        }
    }
    m_peakConfigurationAge = std::max(m_peakConfigurationAge, maxConfigurationAge());
}

void feed_simulation::updateDaemonCount(int number)
{
    auto &source = m_nodes[static_cast<std::size_t>(number)];
    if (!source.follower.mayCountDaemons) {
        setPredecessorCount(source.follower, m_recordedDaemons, m_now);
    }
    recordOwnCount(source.follower, vetchpost::countDaemons(source.feed, m_now), m_now);
    const auto known = knownDaemons(number);
    source.feed.sharingDaemons = known.value_or(0);
    source.feed.sharingCountedAt = m_now;
    m_recordedDaemons = known.value_or(m_recordedDaemons);
}

void feed_simulation::read(node &reader)
{
    reader.currentAt = m_now;
    reader.feed.configurationCurrentAt = m_now;
    if (reader.role.isSource) {
        reader.feed.evacuations.currentAt = m_now;
    }
}

void feed_simulation::push(int number)
{
    for (const auto &datagram : pendingPushes(m_nodes[static_cast<std::size_t>(number)].feed, m_now)) {
        send(number, datagram);
    }
}

void feed_simulation::subscribeIfDue(int number)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    auto &follower = next.follower;
    if (!follower.source || m_now < follower.nextSubscription) {
        return;
    }
    if (hasSourceTimedOut(follower, m_timing.sourceTimeout, m_now)) {
        dropSource(follower, m_now);
        return;
    }
    const auto daemonsHere = countDaemons(next.feed, m_now);
    follower.nextSubscription = m_now + (daemonsHere > 1 ? m_timing.relaySubscriptionPeriod : m_timing.subscription);
    auto subscription = makeSubscription(follower, daemon_id(fmt::format("d{}", number)), next.upTo, true, m_now);
    subscription.dataCentre = next.dataCentre;
    subscription.daemons = daemonsHere;
    send(number, {{*follower.source}, subscription});
}

void feed_simulation::syncSuspects(int number)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    const auto source = !next.role.isSource && next.follower.hasSourceAnswered ? next.follower.source : std::nullopt;
    for (const auto &datagram : collectDueBatches(next.sync, next.suspects, source, activeFollowers(next.feed, m_now), m_now)) {
        send(number, datagram);
    }
}

void feed_simulation::deliver(const datagram_in_flight &datagram)
{
    auto &receiver = m_nodes[static_cast<std::size_t>(datagram.to)];
    const auto &sender = m_nodes[static_cast<std::size_t>(datagram.from)].address;
    if (m_now < receiver.suspendedUntil) {
        return;
    }
    if (const auto *batch = std::get_if<suspect_batch>(&datagram.message)) {
        send(datagram.to, applyBatch(receiver.sync, receiver.suspects, *batch, sender, m_now));
    } else if (const auto *ack = std::get_if<suspect_ack>(&datagram.message)) {
        applyAck(receiver.sync, *ack, sender);
    } else if (const auto *subscription = std::get_if<feed_subscription>(&datagram.message)) {
        handle(datagram.to, datagram.from, *subscription);
    } else if (const auto *update = std::get_if<feed_update>(&datagram.message)) {
        handle(datagram.to, datagram.from, *update);
    } else if (const auto *referral = std::get_if<feed_referral>(&datagram.message)) {
        handle(datagram.to, datagram.from, *referral);
    } else if (std::holds_alternative<feed_end>(datagram.message) && receiver.follower.source == sender) {
        dropSource(receiver.follower, m_now);
    } else if (didReceive) {
        didReceive(datagram.to, sender, datagram.message);
    }
}

void feed_simulation::handle(int number, int from, const feed_subscription &subscription)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    const auto &address = m_nodes[static_cast<std::size_t>(from)].address;
    if (!servesFollowers(next.role)) {
        send(number, {{address}, feed_end()});
        return;
    }
    const auto answer = next.role.isSource ? answerOrRefer(next.feed, subscription, address, m_now)
                                           : answerSubscription(next.feed, subscription, address, m_now);
    for (const auto &datagram : answer) {
        send(number, datagram);
    }
}

void feed_simulation::handle(int number, int from, const feed_update &update)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    if (next.role.isSource || m_nodes[static_cast<std::size_t>(from)].address != next.follower.source) {
        return;
    }
    const auto answeredAt = acceptUpdate(next.follower, update, m_now);
    if (const auto subscribedAt = answeredAt) {
        next.follower.hasSourceAnswered = true;
        next.role.hasReceivedFeed = true;
        next.lastUpdateAt = m_now;
        next.feed.origin = {update.origin.source, update.origin.hops + 1};
        next.feed.sharingDaemons = update.daemons > 0 ? vetchpost::knownDaemons(next.follower, m_now).value_or(0) : 0;
        next.feed.sharingCountedAt = m_now;
        if (update.configurationAge) {
            next.currentAt = std::max(next.currentAt, *subscribedAt - *update.configurationAge);
            next.feed.configurationCurrentAt = next.currentAt;
        }
    }
    if (update.evacuations) {
        const auto currentAt = answeredAt && update.evacuationsAge ? std::optional(*answeredAt - *update.evacuationsAge) : std::nullopt;
        applyReport(next.feed.evacuations, *update.evacuations, currentAt);
        pushEvacuations(number);
    }
    if (update.after <= next.upTo) {
        applyChanges(next.feed, update.changes, update.upTo);
        next.upTo = std::max(next.upTo, update.upTo);
    }
}

void feed_simulation::pushEvacuations(int number)
{
    for (const auto &datagram : evacuationPushes(m_nodes[static_cast<std::size_t>(number)].feed, m_now)) {
        send(number, datagram);
    }
}

void feed_simulation::setEvacuated(const std::set<data_centre_id> &dataCentres)
{
    for (int number = 0; number < daemons(); ++number) {
        auto &next = m_nodes[static_cast<std::size_t>(number)];
        if (next.role.isSource) {
            m_revision = store_revision(m_revision.number() + 1);
            evacuation_report report{{}, m_revision};
            for (const auto &dataCentre : dataCentres) {
                report.since.emplace(dataCentre, 1);
            }
            applyReport(next.feed.evacuations, report, m_now);
            next.feed.upTo = next.upTo = m_revision;
            pushEvacuations(number);
        }
    }
}

std::optional<duration> feed_simulation::timeUntilEvacuatedEverywhere(const std::set<data_centre_id> &dataCentres, duration longest)
{
    const auto begin = m_now;
    const auto isKnown
        = [&](const node &next) { return next.isDisconnected || evacuatedDataCentres(next.feed.evacuations) == dataCentres; };
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), isKnown)) {
        if (m_now - begin >= longest) {
            return std::nullopt;
        }
        tick();
    }
    return m_now - begin;
}

duration feed_simulation::maxEvacuationAge() const
{
    duration oldest{};
    for (const auto &next : m_nodes) {
        if (!next.isDisconnected) {
            oldest = std::max(oldest, next.feed.evacuations.currentAt ? m_now - *next.feed.evacuations.currentAt : duration::max());
        }
    }
    return oldest;
}

void feed_simulation::handle(int number, int from, const feed_referral &referral)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    acceptReferral(next.follower, m_nodes[static_cast<std::size_t>(from)].address, referral.relay, m_now);
}

void feed_simulation::send(int from, const feed_datagram &datagram)
{
    auto &sender = m_nodes[static_cast<std::size_t>(from)];
    const auto bytes = encodeFeedMessage(datagram.message);
    for (const auto &to : datagram.to) {
        ++sender.sent.datagrams;
        sender.sent.bytes += bytes.size();
        const auto number = daemonAt(to);
        const bool isLost = m_lossRate > 0 && std::uniform_real_distribution<double>()(m_random) < m_lossRate;
        const bool isCut = m_cutOff.contains(from) != m_cutOff.contains(number);
        if (!isLost && !isCut && !sender.isDisconnected && !m_nodes[static_cast<std::size_t>(number)].isDisconnected) {
            m_inFlight.push_back({m_now + transitTime, from, number, datagram.message});
        }
    }
}

int feed_simulation::daemonAt(const endpoint &address) const
{
    return address.port - basePort;
}

void feed_simulation::changeReplica(std::uint64_t replicas)
{
    m_revision = store_revision(m_revision.number() + 1);
    auto &source = *std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &next) { return next.role.isSource; });
    applyChanges(source.feed, {makeChange(m_revision, replicas)}, m_revision);
    source.upTo = m_revision;
}

instant feed_simulation::now() const
{
    return m_now;
}

endpoint feed_simulation::addressOf(int daemon) const
{
    return m_nodes[static_cast<std::size_t>(daemon)].address;
}

bool feed_simulation::isSource(int daemon) const
{
    return m_nodes[static_cast<std::size_t>(daemon)].role.isSource;
}

bool feed_simulation::isSuspended(int daemon) const
{
    return m_now < m_nodes[static_cast<std::size_t>(daemon)].suspendedUntil;
}

std::optional<endpoint> feed_simulation::sourceOf(int daemon) const
{
    const auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    return !next.role.isSource && next.follower.hasSourceAnswered ? next.follower.source : std::nullopt;
}

std::vector<endpoint> feed_simulation::followersOf(int daemon) const
{
    return activeFollowers(m_nodes[static_cast<std::size_t>(daemon)].feed, m_now);
}

std::optional<endpoint> feed_simulation::originOf(int daemon) const
{
    const auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const bool isKnown = !next.role.isSource && next.feed.origin.source.port != 0;
    return !isKnown ? std::nullopt : std::optional(next.feed.origin.source);
}

void feed_simulation::disconnect(int daemon)
{
    auto &gone = m_nodes[static_cast<std::size_t>(daemon)];
    gone.isDisconnected = true;
    setSource(gone.role, false);
}

void feed_simulation::stepDown(int daemon)
{
    auto &ended = m_nodes[static_cast<std::size_t>(daemon)];
    setSource(ended.role, false);
    // Like every daemon without a source, it looks the coordinator up in the key-value service.
    ended.follower.source.reset();
    ended.follower.coordinator.reset();
    for (const auto &follower : activeFollowers(ended.feed, m_now)) {
        send(daemon, {{follower}, feed_end()});
    }
}

void feed_simulation::announceCoordinator(int daemon)
{
    const auto &address = m_nodes[static_cast<std::size_t>(daemon)].address;
    for (auto &next : m_nodes) {
        if (!next.role.isSource && !next.follower.source && next.address != address) {
            follow(next.follower, address, m_now);
        }
    }
}

void feed_simulation::makeSource(int daemon)
{
    auto &source = m_nodes[static_cast<std::size_t>(daemon)];
    source.role.isSource = true;
    source.feed.origin = {source.address, 0};
    beginCounting(source.follower, m_now);
    announceCoordinator(daemon);
}

void feed_simulation::resetNode(node &next)
{
    next.feed = {};
    next.follower = {};
    next.suspects = {};
    next.sync = {};
    applyListing(next.feed, {}, m_revision, true);
    next.upTo = m_revision;
    next.currentAt = m_now;
}

void feed_simulation::partition(const std::set<int> &cutOff)
{
    m_cutOff = cutOff;
}

std::optional<counted_daemons> feed_simulation::knownDaemonCount(int daemon) const
{
    return vetchpost::knownDaemonCount(m_nodes[static_cast<std::size_t>(daemon)].follower, m_now);
}

std::optional<int> feed_simulation::knownDaemons(int daemon) const
{
    const auto known = knownDaemonCount(daemon);
    return known ? std::optional(known->daemons) : std::nullopt;
}

void feed_simulation::setDatagramLoss(double share)
{
    m_lossRate = share;
}

void feed_simulation::restart(int daemon)
{
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const auto source = std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &other) { return other.role.isSource; });
    resetNode(next);
    next.follower.lastNonce = m_random();
    if (next.role.isSource) {
        makeSource(daemon);
    } else {
        follow(next.follower, source->address, m_now);
    }
}

void feed_simulation::suspend(int daemon, duration time)
{
    m_nodes[static_cast<std::size_t>(daemon)].suspendedUntil = m_now + time;
}

void feed_simulation::endReplica(int daemon, const request_identity &request, replica_end end)
{
    recordReplicaEnd(m_nodes[static_cast<std::size_t>(daemon)].suspects, request, organisation_id("o"), end, m_now);
}

std::optional<duration> feed_simulation::timeUntilRefusedEverywhere(const request_identity &request, duration longest)
{
    const auto begin = m_now;
    const auto refuses = [&](const node &next) { return next.isDisconnected || isRefused(next.suspects, request, m_now); };
    for (; m_now - begin <= longest; tick()) {
        if (std::all_of(m_nodes.begin(), m_nodes.end(), refuses)) {
            return m_now - begin;
        }
    }
    return std::nullopt;
}

const feed_simulation::traffic &feed_simulation::sentBy(int daemon) const
{
    return m_nodes[static_cast<std::size_t>(daemon)].sent;
}

void feed_simulation::resetTraffic()
{
    for (auto &next : m_nodes) {
        next.sent = {};
    }
    m_peakConfigurationAge = {};
}

feed_simulation::traffic feed_simulation::maxSentByFollower() const
{
    traffic most;
    for (const auto &next : m_nodes) {
        if (!next.role.isSource) {
            most = {std::max(most.datagrams, next.sent.datagrams), std::max(most.bytes, next.sent.bytes)};
        }
    }
    return most;
}

int feed_simulation::daemons() const
{
    return static_cast<int>(m_nodes.size());
}

int feed_simulation::directFollowerCount() const
{
    const auto source = std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &next) { return next.role.isSource; });
    return static_cast<int>(source->feed.subscribers.size());
}

int feed_simulation::countedDaemons() const
{
    const auto source = std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &next) { return next.role.isSource; });
    return countDaemons(source->feed, m_now);
}

duration feed_simulation::maxConfigurationAge() const
{
    duration oldest{};
    for (const auto &next : m_nodes) {
        oldest = std::max(oldest, next.isDisconnected ? duration() : m_now - next.currentAt);
    }
    return oldest;
}

duration feed_simulation::peakConfigurationAge() const
{
    return m_peakConfigurationAge;
}

int feed_simulation::daemonsWithoutSource() const
{
    return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const node &next) {
        return !next.role.isSource && !next.isDisconnected && !next.follower.source;
    }));
}

bool feed_simulation::areAllUpToDate() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const node &next) { return next.isDisconnected || next.upTo == m_revision; });
}

} // namespace vetchpost::test
