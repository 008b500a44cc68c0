// SPDX-License-Identifier: Apache-2.0
#include "Tests/Feed/limitWorld.h"

#include <algorithm>

namespace vetchpost::test {

namespace {

const replica_key replica{instance_id("i-1"), replica_life(7)};
constexpr duration window(4000);
constexpr duration contactTime(3000);
/// All daemons have heard of the limit by then.
constexpr duration spreadTime(1000);
/// A daemon counts as told so long after it has passed on an answer.
constexpr duration toldAfter(500);
constexpr double ticksPerSecond = 100;
/// One request in ten needs a connection that is slow to come up.
constexpr int slowConnections = 10;
constexpr int longestConnect = 250;
constexpr int usualConnect = 5;

} // namespace

limit_world::limit_world(int daemons, double perSecond, unsigned seed)
    : m_feed(daemons, 3)
    , m_perSecond(perSecond)
    , m_random(seed)
    , m_nodes(static_cast<std::size_t>(daemons))
{
    m_feed.didTick = [this](int daemon) { tick(daemon); };
    m_feed.didReceive = [this](int daemon, const endpoint &from, const feed_message &message) { receive(daemon, from, message); };
}

void limit_world::advance(duration time)
{
    m_feed.advance(time);
}

void limit_world::nameLimit(std::optional<double> limit)
{
    m_limit = limit;
    m_firstNamed = m_firstNamed.value_or(m_feed.now());
}

void limit_world::restart(int daemon)
{
    m_nodes[static_cast<std::size_t>(daemon)] = {};
    m_feed.restart(daemon);
}

double limit_world::allowed(double limit)
{
    constexpr double windowSeconds = 4;
    constexpr double factor = 1.5;
    constexpr double slack = 5;
    return limit * windowSeconds * factor + slack;
}

int limit_world::mostFromTold() const
{
    return mostOf(false);
}

int limit_world::mostFromAll() const
{
    return mostOf(true);
}

int limit_world::mostOf(bool fromAll) const
{
    int most = 0;
    for (auto last = m_arrivals.begin(); last != m_arrivals.end(); ++last) {
        const bool isJudged = m_firstNamed && last->at >= *m_firstNamed + contactTime;
        if (!isJudged) {
            continue;
        }
        const auto count = std::count_if(m_arrivals.begin(), last + 1, [&](const arrival &next) {
            const bool isCounted = fromAll ? next.at >= *m_firstNamed + spreadTime : next.isTold;
            return isCounted && last->at - next.at < window;
        });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

int limit_world::reachedInLast(duration time) const
{
    return static_cast<int>(
        std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const arrival &next) { return m_feed.now() - next.at <= time; }));
}

int limit_world::informed() const
{
    return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const node &next) {
        const auto *known = findConstraint(next.table, replica);
        return known != nullptr && known->rateLimit;
    }));
}

void limit_world::tellLeaving(int daemon)
{
    replica_notice notice;
    notice.isLeaving = true;
    noteAnswer(m_nodes[static_cast<std::size_t>(daemon)].table, replica, notice, m_feed.now());
}

void limit_world::readDeparture(int daemon)
{
    noteDepartures(m_nodes[static_cast<std::size_t>(daemon)].table, {replica}, m_feed.now());
}

std::optional<duration> limit_world::allKnowLeavingAfter(duration longest)
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

void limit_world::tick(int daemon)
{
    if (daemon == 0) {
        deliver();
    }
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const bool isSource = m_feed.isSource(daemon);
    if (isSource != next.wasSource) {
        next.wasSource = isSource;
        next.issuer = {};
    }
    for (const auto &datagram : listsDue(next.spread, next.table, m_feed.sourceOf(daemon), m_feed.followersOf(daemon), m_feed.now())) {
        m_feed.send(daemon, datagram);
    }
    const auto probability = m_perSecond / ticksPerSecond / static_cast<double>(m_nodes.size());
    for (int left = std::poisson_distribution<int>(probability)(m_random); left > 0; --left) {
        takeRequest(daemon);
    }
}

void limit_world::receive(int daemon, const endpoint &from, const feed_message &message)
{
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    if (const auto *list = std::get_if<constraint_list>(&message)) {
        m_feed.send(daemon, takeList(next.spread, next.table, *list, from, m_feed.now()));
    } else if (const auto *receipt = std::get_if<constraint_receipt>(&message)) {
        takeReceipt(next.spread, *receipt, from);
    } else if (const auto *question = std::get_if<permit_question>(&message); question != nullptr && m_feed.isSource(daemon)) {
        m_feed.send(daemon, {{from}, issue(daemon, *question, from)});
    } else if (const auto *answer = std::get_if<permit_answer>(&message)) {
        takeAnswer(next.wallet, *answer, m_feed.now());
    }
}

permit_answer limit_world::issue(int daemon, const permit_question &question, const endpoint &asker)
{
    auto &source = m_nodes[static_cast<std::size_t>(daemon)];
    return answerQuestion(source.issuer, source.table, question, asker, m_feed.now());
}

void limit_world::ask(int daemon, const permit_question &question)
{
    ++m_questions;
    if (m_feed.isSource(daemon)) {
        takeAnswer(m_nodes[static_cast<std::size_t>(daemon)].wallet, issue(daemon, question, m_feed.addressOf(daemon)), m_feed.now());
    } else if (const auto origin = m_feed.originOf(daemon)) {
        m_feed.send(daemon, {{*origin}, question});
    }
}

/// The request goes elsewhere where the replica is closed to it.
void limit_world::takeRequest(int daemon)
{
    auto &next = m_nodes[static_cast<std::size_t>(daemon)];
    const auto now = m_feed.now();
    if (closureOf(next.table, next.wallet, replica, now).cause == closure_cause::limit) {
        if (auto question = wantPermit(next.wallet, replica, now)) {
            question->report = evidenceOf(replica, *findConstraint(next.table, replica), now);
            ask(daemon, *question);
        }
    }
    const auto closure = closureOf(next.table, next.wallet, replica, now);
    if (closure.cause != closure_cause::none) {
        return;
    }
    takePermit(next.wallet, replica, now);
    const bool isSlow = m_random() % slowConnections == 0;
    const auto way = duration(isSlow ? m_random() % longestConnect : usualConnect);
    m_sent.push_back({now + way, daemon});
}

/// What has arrived at the replica, and its answers.
void limit_world::deliver()
{
    const auto now = m_feed.now();
    std::erase_if(m_answers, [&](const pending_answer &answer) {
        if (m_feed.isSuspended(answer.daemon)) {
            return false;
        }
        auto &next = m_nodes[static_cast<std::size_t>(answer.daemon)];
        noteAnswer(next.table, replica, answer.notice, now);
        next.toldAt = answer.notice.rateLimit ? next.toldAt.value_or(now) : next.toldAt;
        return true;
    });
    std::erase_if(m_sent, [&](const sent_request &request) {
        if (request.arrives > now) {
            return false;
        }
        const auto &toldAt = m_nodes[static_cast<std::size_t>(request.daemon)].toldAt;
        m_arrivals.push_back({now, toldAt && now - *toldAt >= toldAfter});
        replica_notice notice;
        notice.rateLimit = m_limit;
        notice.tellsAll = true;
        m_answers.push_back({request.daemon, notice});
        return true;
    });
}

} // namespace vetchpost::test
