// SPDX-License-Identifier: Apache-2.0
#include "Tests/Feed/feedWorld.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

constexpr duration tickTime(10);
constexpr duration wayTime(1);
constexpr duration pushPeriod(120);
constexpr std::uint16_t basePort = 7000;

/// One as long as they are on a platform.
replica_change changeOf(std::uint64_t revision, std::uint64_t replicas)
{
    replica_change change{instance_id(fmt::format("i-{:010}", revision % replicas)), revision, served_replica()};
    change.replica->id = change.id;
    change.replica->service = service_id("gode75a");
    change.replica->address = {"10.200.164.182", 18261};
    change.replica->dataCentre = data_centre_id("sala-pamplona");
    change.replica->domain = fabric_domain_id("domain-12");
    change.replica->membership = {group_id("g1071900012"), formation(1071900012), 3, member_state::ready};
    return change;
}

} // namespace

feed_world::feed_world(int daemons, int dataCentres)
    : m_nodes(static_cast<std::size_t>(daemons))
{
    for (int number = 0; number < daemons; ++number) {
        auto &next = m_nodes[static_cast<std::size_t>(number)];
        next.address = {"10.0.0.1", static_cast<std::uint16_t>(basePort + number)};
        next.dataCentre = data_centre_id(fmt::format("centre-{}", number % dataCentres));
        beginAnew(next);
        // They start within 0.3 s.
        next.follower.nextSubscription = m_now + duration(number * 7 % 300);
        follow(next.follower, m_nodes.front().address, next.follower.nextSubscription);
    }
    m_nodes.front().role.isSource = true;
    m_nodes.front().feed.origin = {m_nodes.front().address, 0};
}

void feed_world::advance(duration time)
{
    for (const auto end = m_now + time; m_now < end;) {
        tick();
    }
}

void feed_world::tick()
{
    m_now += tickTime;
    while (!m_onTheWay.empty() && m_onTheWay.front().arrives <= m_now) {
        const auto datagram = m_onTheWay.front();
        m_onTheWay.pop_front();
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
        const auto limit = next.role.isSource ? m_timing.sourceReading : hasFollowers ? m_timing.relayReading : m_timing.ownReading;
        if (m_now - next.currentAt >= limit && !next.isCutOff) {
            read(next);
        }
        if (next.role.isSource && isPushTime) {
            push(number);
        } else if (!next.role.isSource) {
            push(number);
            subscribeIfDue(number);
        }
        spreadSuspects(number);
        if (didTick) {
            didTick(number);
        }
    }
    m_oldestSeen = std::max(m_oldestSeen, oldestConfiguration());
}

void feed_world::read(node &reader)
{
    reader.currentAt = m_now;
    reader.feed.configurationCurrentAt = m_now;
}

void feed_world::push(int number)
{
    for (const auto &datagram : pendingPushes(m_nodes[static_cast<std::size_t>(number)].feed, m_now)) {
        send(number, datagram);
    }
}

void feed_world::subscribeIfDue(int number)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    auto &follower = next.follower;
    if (!follower.source || m_now < follower.nextSubscription) {
        return;
    }
    if (isSourceSilent(follower, m_timing.sourceSilence, m_now)) {
        loseSource(follower, m_now);
        return;
    }
    const auto daemonsHere = countDaemons(next.feed, m_now);
    follower.nextSubscription = m_now + (daemonsHere > 1 ? m_timing.relaySubscription : m_timing.subscription);
    auto subscription = subscribe(follower, daemon_id(fmt::format("d{}", number)), next.upTo, true, m_now);
    subscription.dataCentre = next.dataCentre;
    subscription.daemons = daemonsHere;
    send(number, {{*follower.source}, subscription});
}

void feed_world::spreadSuspects(int number)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    const auto source = !next.role.isSource && next.follower.wasHeard ? next.follower.source : std::nullopt;
    for (const auto &datagram : listsDue(next.spread, next.suspects, source, heardFollowers(next.feed, m_now), m_now)) {
        send(number, datagram);
    }
}

void feed_world::deliver(const travelling &datagram)
{
    auto &receiver = m_nodes[static_cast<std::size_t>(datagram.to)];
    const auto &sender = m_nodes[static_cast<std::size_t>(datagram.from)].address;
    if (m_now < receiver.suspendedUntil) {
        return;
    }
    if (const auto *list = std::get_if<suspect_list>(&datagram.message)) {
        send(datagram.to, takeList(receiver.spread, receiver.suspects, *list, sender, m_now));
    } else if (const auto *receipt = std::get_if<suspect_receipt>(&datagram.message)) {
        takeReceipt(receiver.spread, *receipt, sender);
    } else if (const auto *subscription = std::get_if<feed_subscription>(&datagram.message)) {
        take(datagram.to, datagram.from, *subscription);
    } else if (const auto *update = std::get_if<feed_update>(&datagram.message)) {
        take(datagram.to, datagram.from, *update);
    } else if (const auto *referral = std::get_if<feed_referral>(&datagram.message)) {
        take(datagram.to, datagram.from, *referral);
    } else if (std::holds_alternative<feed_end>(datagram.message) && receiver.follower.source == sender) {
        loseSource(receiver.follower, m_now);
    } else if (didReceive) {
        didReceive(datagram.to, sender, datagram.message);
    }
}

void feed_world::take(int number, int from, const feed_subscription &subscription)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    const auto &address = m_nodes[static_cast<std::size_t>(from)].address;
    if (!passesOn(next.role)) {
        send(number, {{address}, feed_end()});
        return;
    }
    const auto answer = next.role.isSource ? answerOrRefer(next.feed, subscription, address, m_now)
                                           : answerSubscription(next.feed, subscription, address, m_now);
    for (const auto &datagram : answer) {
        send(number, datagram);
    }
}

void feed_world::take(int number, int from, const feed_update &update)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    if (next.role.isSource || m_nodes[static_cast<std::size_t>(from)].address != next.follower.source) {
        return;
    }
    if (const auto asked = noteUpdate(next.follower, update, m_now)) {
        next.follower.wasHeard = true;
        next.role.wasFed = true;
        next.lastFed = m_now;
        next.feed.origin = {update.origin.source, update.origin.hops + 1};
        next.feed.daemonsTold = next.follower.daemons.value_or(0);
        if (update.configurationAge) {
            next.currentAt = std::max(next.currentAt, *asked - *update.configurationAge);
            next.feed.configurationCurrentAt = next.currentAt;
        }
    }
    if (update.after <= next.upTo) {
        noteChanges(next.feed, update.changes, update.upTo);
        next.upTo = std::max(next.upTo, update.upTo);
    }
}

void feed_world::take(int number, int from, const feed_referral &referral)
{
    auto &next = m_nodes[static_cast<std::size_t>(number)];
    takeReferral(next.follower, m_nodes[static_cast<std::size_t>(from)].address, referral.relay, m_now);
}

void feed_world::send(int from, const feed_datagram &datagram)
{
    auto &sender = m_nodes[static_cast<std::size_t>(from)];
    const auto bytes = encodeFeedMessage(datagram.message);
    for (const auto &to : datagram.to) {
        ++sender.sent.datagrams;
        sender.sent.bytes += bytes.size();
        const auto number = numberOf(to);
        const bool isLost = m_lostShare > 0 && std::uniform_real_distribution<double>()(m_random) < m_lostShare;
        if (!isLost && !sender.isCutOff && !m_nodes[static_cast<std::size_t>(number)].isCutOff) {
            m_onTheWay.push_back({m_now + wayTime, from, number, datagram.message});
        }
    }
}

int feed_world::numberOf(const endpoint &address) const
{
    return address.port - basePort;
}

void feed_world::change(std::uint64_t replicas)
{
    ++m_revision;
    auto &source = *std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &next) { return next.role.isSource; });
    noteChanges(source.feed, {changeOf(m_revision, replicas)}, m_revision);
    source.upTo = m_revision;
}

instant feed_world::now() const
{
    return m_now;
}

endpoint feed_world::addressOf(int daemon) const
{
    return m_nodes[static_cast<std::size_t>(daemon)].address;
}

bool feed_world::isSource(int daemon) const
{
    return m_nodes[static_cast<std::size_t>(daemon)].role.isSource;
}

bool feed_world::isSuspended(int daemon) const
{
    return m_now < m_nodes[static_cast<std::size_t>(daemon)].suspendedUntil;
}

std::optional<endpoint> feed_world::sourceOf(int daemon) const
{
    const auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    return !next.role.isSource && next.follower.wasHeard ? next.follower.source : std::nullopt;
}

std::vector<endpoint> feed_world::followersOf(int daemon) const
{
    return heardFollowers(m_nodes[static_cast<std::size_t>(daemon)].feed, m_now);
}

std::optional<endpoint> feed_world::originOf(int daemon) const
{
    const auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const bool isKnown = !next.role.isSource && next.feed.origin.source.port != 0;
    return !isKnown ? std::nullopt : std::optional(next.feed.origin.source);
}

void feed_world::cutOff(int daemon)
{
    auto &gone = m_nodes[static_cast<std::size_t>(daemon)];
    gone.isCutOff = true;
    setSource(gone.role, false);
}

void feed_world::endTerm(int daemon)
{
    auto &ended = m_nodes[static_cast<std::size_t>(daemon)];
    setSource(ended.role, false);
    // It asks the service who coordinates, as all do that have no source.
    ended.follower.source.reset();
    ended.follower.coordinator.reset();
    for (const auto &follower : heardFollowers(ended.feed, m_now)) {
        send(daemon, {{follower}, feed_end()});
    }
}

void feed_world::pointTo(int daemon)
{
    const auto &address = m_nodes[static_cast<std::size_t>(daemon)].address;
    for (auto &next : m_nodes) {
        if (!next.role.isSource && !next.follower.source && next.address != address) {
            follow(next.follower, address, m_now);
        }
    }
}

void feed_world::elect(int daemon)
{
    auto &source = m_nodes[static_cast<std::size_t>(daemon)];
    source.role.isSource = true;
    source.feed.origin = {source.address, 0};
    source.feed.daemonsTold = 0;
    pointTo(daemon);
}

void feed_world::beginAnew(node &next)
{
    next.feed = {};
    next.follower = {};
    next.suspects = {};
    next.spread = {};
    noteListing(next.feed, {}, m_revision, true);
    next.upTo = m_revision;
    next.currentAt = m_now;
}

void feed_world::loseDatagrams(double share)
{
    m_lostShare = share;
}

void feed_world::restart(int daemon)
{
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const auto source = std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &other) { return other.role.isSource; });
    beginAnew(next);
    next.follower.lastNonce = m_random();
    follow(next.follower, source->address, m_now);
}

void feed_world::suspend(int daemon, duration time)
{
    m_nodes[static_cast<std::size_t>(daemon)].suspendedUntil = m_now + time;
}

void feed_world::endReplica(int daemon, const request_identity &request, replica_end end)
{
    noteEnd(m_nodes[static_cast<std::size_t>(daemon)].suspects, request, organisation_id("o"), end, m_now);
}

std::optional<duration> feed_world::refusedEverywhereAfter(const request_identity &request, duration longest)
{
    const auto begin = m_now;
    const auto refuses = [&](const node &next) { return next.isCutOff || isRefused(next.suspects, request, m_now); };
    for (; m_now - begin <= longest; tick()) {
        if (std::all_of(m_nodes.begin(), m_nodes.end(), refuses)) {
            return m_now - begin;
        }
    }
    return std::nullopt;
}

const feed_world::traffic &feed_world::sentBy(int daemon) const
{
    return m_nodes[static_cast<std::size_t>(daemon)].sent;
}

void feed_world::resetTraffic()
{
    for (auto &next : m_nodes) {
        next.sent = {};
    }
    m_oldestSeen = {};
}

feed_world::traffic feed_world::mostSentByFollower() const
{
    traffic most;
    for (const auto &next : m_nodes) {
        if (!next.role.isSource) {
            most = {std::max(most.datagrams, next.sent.datagrams), std::max(most.bytes, next.sent.bytes)};
        }
    }
    return most;
}

int feed_world::daemons() const
{
    return static_cast<int>(m_nodes.size());
}

int feed_world::directFollowers() const
{
    const auto source = std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &next) { return next.role.isSource; });
    return static_cast<int>(source->feed.subscribers.size());
}

int feed_world::daemonsCounted() const
{
    const auto source = std::find_if(m_nodes.begin(), m_nodes.end(), [](const node &next) { return next.role.isSource; });
    return countDaemons(source->feed, m_now);
}

duration feed_world::oldestConfiguration() const
{
    duration oldest{};
    for (const auto &next : m_nodes) {
        oldest = std::max(oldest, next.isCutOff ? duration() : m_now - next.currentAt);
    }
    return oldest;
}

duration feed_world::oldestConfigurationSeen() const
{
    return m_oldestSeen;
}

int feed_world::lost() const
{

    return static_cast<int>(std::count_if(
        m_nodes.begin(), m_nodes.end(), [](const node &next) { return !next.role.isSource && !next.isCutOff && !next.follower.source; }));
}

bool feed_world::haveAllChanges() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const node &next) { return next.isCutOff || next.upTo == m_revision; });
}

} // namespace vetchpost::test
