// SPDX-License-Identifier: Apache-2.0
#include "Tests/Feed/limitSimulation.h"

#include <algorithm>

namespace vetchpost::test {

namespace {

const replica_key replica{instance_id("i-1"), replica_incarnation(7)};
constexpr duration window(4000);
constexpr duration contactTime(3000);
/// All daemons have learned of the limit within this time.
constexpr duration propagationTime(1000);
/// A daemon counts as informed this long after it has relayed the first answer that named a limit.
constexpr duration informedDelay(500);
constexpr double ticksPerSecond = 100;
/// On average one of this many requests is sent on a connection that is slow to be established.
constexpr int slowConnectionInterval = 10;
/// In milliseconds.
constexpr int maxConnectTime = 250;
constexpr int usualConnectTime = 5;

} // namespace

limit_simulation::limit_simulation(int daemons, double perSecond, unsigned seed)
    : m_feed(daemons, 3)
    , m_perSecond(perSecond)
    , m_random(seed)
    , m_nodes(static_cast<std::size_t>(daemons))
{
    m_feed.didTick = [this](int daemon) { tick(daemon); };
    m_feed.didReceive = [this](int daemon, const endpoint &from, const feed_message &message) { receive(daemon, from, message); };
}

void limit_simulation::advance(duration time)
{
    m_feed.advance(time);
}

void limit_simulation::setNamedLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_firstNamed = m_firstNamed.value_or(m_feed.now());
}

void limit_simulation::restart(int daemon)
{
    m_nodes[static_cast<std::size_t>(daemon)] = {};
    m_feed.restart(daemon);
}

double limit_simulation::allowedRequests(double limit)
{
    constexpr double windowSeconds = 4;
    constexpr double factor = 1.5;
    constexpr double slack = 5;
    return limit * windowSeconds * factor + slack;
}

int limit_simulation::maxFromInformed() const
{
    return maxInWindow(false);
}

int limit_simulation::maxFromAll() const
{
    return maxInWindow(true);
}

int limit_simulation::maxInWindow(bool fromAll) const
{
    int most = 0;
    for (auto last = m_arrivals.begin(); last != m_arrivals.end(); ++last) {
        const bool isChecked = m_firstNamed && last->at >= *m_firstNamed + contactTime;
        if (!isChecked) {
            continue;
        }
        const auto count = std::count_if(m_arrivals.begin(), last + 1, [&](const arrival &next) {
            const bool isCounted = fromAll ? next.at >= *m_firstNamed + propagationTime : next.isFromInformed;
            return isCounted && last->at - next.at < window;
        });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

int limit_simulation::arrivalsInLast(duration time) const
{
    return static_cast<int>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const arrival &next) { return m_feed.now() - next.at <= time; }));
}

int limit_simulation::informedDaemons() const
{
    return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const node &next) {
        const auto *known = findConstraint(next.table, replica);
        return known != nullptr && known->rateLimit;
    }));
}

void limit_simulation::announceDeparture(int daemon)
{
    replica_notice notice;
    notice.isLeaving = true;
    applyNotice(m_nodes[static_cast<std::size_t>(daemon)].table, replica, notice, m_feed.now());
}

void limit_simulation::readDeparture(int daemon)
{
    recordDepartures(m_nodes[static_cast<std::size_t>(daemon)].table, {replica}, m_feed.now());
}

std::optional<duration> limit_simulation::timeUntilDepartureKnown(duration longest)
{
    constexpr duration step(10);
    const auto begin = m_feed.now();
    const auto knows = [](const node &next) {
        const auto *known = findConstraint(next.table, replica);
        return known != nullptr && known->isLeaving;
    };
    for (; m_feed.now() - begin <= longest; m_feed.advance(step)) {
        if (std::all_of(m_nodes.begin(), m_nodes.end(), knows)) {
            return m_feed.now() - begin;
        }
    }
    return std::nullopt;
}

void limit_simulation::tick(int daemon)
{
    if (daemon == 0) {
        deliverInFlight();
    }
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const bool isSource = m_feed.isSource(daemon);
    if (isSource != next.wasSource) {
        next.wasSource = isSource;
        next.issuer = {};
    }
    for (const auto &datagram :
         collectDueBatches(next.sync, next.table, m_feed.sourceOf(daemon), m_feed.followersOf(daemon), m_feed.now())) {
        m_feed.send(daemon, datagram);
    }
    const auto probability = m_perSecond / ticksPerSecond / static_cast<double>(m_nodes.size());
    for (int left = std::poisson_distribution<int>(probability)(m_random); left > 0; --left) {
        routeRequest(daemon);
    }
}

void limit_simulation::receive(int daemon, const endpoint &from, const feed_message &message)
{
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    if (const auto *batch = std::get_if<constraint_batch>(&message)) {
        m_feed.send(daemon, applyBatch(next.sync, next.table, *batch, from, m_feed.now()));
    } else if (const auto *ack = std::get_if<constraint_ack>(&message)) {
        applyAck(next.sync, *ack, from);
    } else if (const auto *permitRequest = std::get_if<permit_request>(&message); permitRequest != nullptr && m_feed.isSource(daemon)) {
        m_feed.send(daemon, {{from}, issueAtSource(daemon, *permitRequest, from)});
    } else if (const auto *answer = std::get_if<permit_response>(&message)) {
        acceptResponse(next.permitHolder, *answer, m_feed.now());
    }
}

permit_response limit_simulation::issueAtSource(int daemon, const permit_request &permitRequest, const endpoint &requester)
{
    auto &source = m_nodes[static_cast<std::size_t>(daemon)];
    return answerPermitRequest(source.issuer, source.table, permitRequest, requester, m_feed.now());
}

void limit_simulation::requestPermits(int daemon, const permit_request &permitRequest)
{
    ++m_permitRequests;
    if (m_feed.isSource(daemon)) {
        acceptResponse(m_nodes[static_cast<std::size_t>(daemon)].permitHolder,
                       issueAtSource(daemon, permitRequest, m_feed.addressOf(daemon)),
                       m_feed.now());
    } else if (const auto origin = m_feed.originOf(daemon)) {
        m_feed.send(daemon, {{*origin}, permitRequest});
    }
}

/// Sends a request to the replica, unless the replica is closed to it or a permit is missing.
void limit_simulation::routeRequest(int daemon)
{
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const auto now = m_feed.now();
    if (blockOf(next.table, next.permitHolder, replica, now).cause == block_cause::limit) {
        if (auto permitRequest = nextPermitRequest(next.permitHolder, replica, now)) {
            permitRequest->report = makeReport(replica, *findConstraint(next.table, replica), now);
            requestPermits(daemon, *permitRequest);
        }
    }
    const auto block = blockOf(next.table, next.permitHolder, replica, now);
    if (block.cause != block_cause::none) {
        return;
    }
    consumePermit(next.permitHolder, replica, now);
    const bool isSlow = m_random() % slowConnectionInterval == 0;
    const auto transit = duration(isSlow ? m_random() % maxConnectTime : usualConnectTime);
    m_inFlight.push_back({now + transit, daemon});
}

/// Delivers the replica's answers to the daemons, and the requests that have arrived to the replica.
void limit_simulation::deliverInFlight()
{
    const auto now = m_feed.now();
    std::erase_if(m_answers, [&](const pending_response &answer) {
        if (m_feed.isSuspended(answer.daemon)) {
            return false;
        }
        auto &next = m_nodes[static_cast<std::size_t>(answer.daemon)];
        applyNotice(next.table, replica, answer.notice, now);
        next.informedAt = answer.notice.rateLimit ? next.informedAt.value_or(now) : next.informedAt;
        return true;
    });
    std::erase_if(m_inFlight, [&](const sent_request &request) {
        if (request.arrives > now) {
            return false;
        }
        const auto &informedAt = m_nodes[static_cast<std::size_t>(request.daemon)].informedAt;
        m_arrivals.push_back({now, informedAt && now - *informedAt >= informedDelay});
        replica_notice notice;
        notice.rateLimit = m_limit;
        notice.isExhaustive = true;
        m_answers.push_back({request.daemon, notice});
        return true;
    });
}

} // namespace vetchpost::test
