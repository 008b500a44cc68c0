// SPDX-License-Identifier: Apache-2.0
#include "Tests/Feed/tunnelSimulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

const service_id service("large");
constexpr std::size_t replicas = 16;
constexpr int dataCentres = 3;
constexpr duration connectTimeout(250);
/// From a request for a tunnel to its answer.
constexpr duration askTime(10);
/// How long a request is being answered.
constexpr duration serviceTime(850);
constexpr duration patience(300);
constexpr int maxAsked = 8;
constexpr int maxConnects = 4;
constexpr double ticksPerSecond = 100;

} // namespace

tunnel_simulation::tunnel_simulation(int daemons, double requestsPerSecond, int capacity)
    : m_feed(daemons, dataCentres)
    , m_perSecond(requestsPerSecond)
    , m_nodes(static_cast<std::size_t>(daemons))
{
    for (int number = 0; number < daemons; ++number) {
        auto &next = m_nodes[static_cast<std::size_t>(number)];
        next.table.own = m_feed.addressOf(number);
        next.admission.limit = capacity;
    }
    m_feed.didTick = [this](int daemon) { tick(daemon); };
    m_feed.didReceive = [this](int daemon, const endpoint &from, const feed_message &message) { receive(daemon, from, message); };
}

void tunnel_simulation::advance(duration time)
{
    m_feed.advance(time);
}

void tunnel_simulation::cutOff(const std::function<bool(int daemon)> &isCut)
{
    for (int number = 0; number < m_feed.daemons(); ++number) {
        m_nodes[static_cast<std::size_t>(number)].isCut = isCut(number);
    }
}

void tunnel_simulation::beginCount()
{
    m_isCounting = true;
    std::for_each(m_nodes.begin(), m_nodes.end(), [](node &next) { next.mostTunnels = 0; });
}

void tunnel_simulation::announce(int daemon)
{
    auto &own = m_nodes[static_cast<std::size_t>(daemon)];
    tunnel_proxy proxy;
    proxy.dataCentre = data_centre_id(fmt::format("centre-{}", daemon % dataCentres));
    proxy.run = 1;
    proxy.capacity = own.admission.limit;
    proxy.isCutOff = needsTunnel(own.paths, service);
    vetchpost::announce(own.table, proxy, m_feed.now());
}

void tunnel_simulation::tick(int daemon)
{
    const auto now = m_feed.now();
    if (daemon == 0) {
        while (!m_running.empty() && m_running.begin()->first <= now) {
            const auto end = m_running.begin()->second;
            m_running.erase(m_running.begin());
            releaseRoom(m_nodes[static_cast<std::size_t>(end.daemon)].admission, end.isTunnel, now);
            if (end.user) {
                --m_nodes[static_cast<std::size_t>(*end.user)].uses[m_feed.addressOf(end.daemon)].tunnels;
            }
        }
        std::erase_if(m_requests, [this](request &next) { return step(next); });
    }
    announce(daemon);
    auto &own = m_nodes[static_cast<std::size_t>(daemon)];
    for (const auto &datagram : collectDueBatches(own.sync, own.table, m_feed.sourceOf(daemon), m_feed.followersOf(daemon), now)) {
        m_feed.send(daemon, datagram);
    }
    own.mostTunnels = std::max(own.mostTunnels, own.admission.tunnels);
    own.owed += m_perSecond / ticksPerSecond;
    for (; own.owed >= 1; own.owed -= 1) {
        arrive(daemon);
    }
}

void tunnel_simulation::receive(int daemon, const endpoint &from, const feed_message &message)
{
    auto &own = m_nodes[static_cast<std::size_t>(daemon)];
    if (const auto *batch = std::get_if<proxy_batch>(&message)) {
        m_feed.send(daemon, applyBatch(own.sync, own.table, *batch, from, m_feed.now()));
    } else if (const auto *ack = std::get_if<proxy_ack>(&message)) {
        applyAck(own.sync, *ack, from);
    }
}

void tunnel_simulation::arrive(int daemon)
{
    request next;
    next.daemon = daemon;
    next.arrived = next.due = m_feed.now();
    next.isCounted = m_isCounting;
    if (next.isCounted) {
        ++countsFor(next).offered;
    }
    if (!step(next)) {
        m_requests.push_back(next);
    }
}

tunnel_simulation::counts &tunnel_simulation::countsFor(const request &next)
{
    return m_nodes[static_cast<std::size_t>(next.daemon)].isCut ? m_atCut : m_atOthers;
}

bool tunnel_simulation::finish(const request &next, bool isServed)
{
    if (next.isCounted && isServed) {
        ++countsFor(next).served;
    }
    return true;
}

void tunnel_simulation::serve(const request &next, int carrier, bool isTunnel)
{
    m_running.emplace(m_feed.now() + serviceTime, work_end{carrier, isTunnel, isTunnel ? std::optional(next.daemon) : std::nullopt});
}

bool tunnel_simulation::step(request &next)
{
    const auto now = m_feed.now();
    if (next.ticket != 0) {
        // It waits for room at a daemon.
        const auto at = static_cast<std::size_t>(next.carrier.value_or(next.daemon));
        if (takeGrant(m_nodes[at].admission, next.ticket)) {
            serve(next, static_cast<int>(at), next.carrier.has_value());
            return finish(next, true);
        }
        if (now < next.due) {
            return false;
        }
        withdraw(m_nodes[at].admission, next.ticket, next.carrier.has_value(), now);
        if (next.carrier) {
            --m_nodes[static_cast<std::size_t>(next.daemon)].uses[m_feed.addressOf(*next.carrier)].tunnels;
        }
        return finish(next, false);
    }
    if (now < next.due) {
        return false;
    }
    if (next.isConnecting) {
        next.isConnecting = false;
        recordUnreached(m_nodes[static_cast<std::size_t>(next.daemon)].paths, service, next.replica, replicas, now - connectTimeout, now);
    }
    return needsTunnel(m_nodes[static_cast<std::size_t>(next.daemon)].paths, service) ? askForTunnel(next) : connect(next);
}

bool tunnel_simulation::connect(request &next)
{
    auto &own = m_nodes[static_cast<std::size_t>(next.daemon)];
    if (own.isCut) {
        if (++next.attempts > maxConnects) {
            return finish(next, false);
        }
        next.replica = instance_id(fmt::format("r-{}", m_random() % replicas));
        next.isConnecting = true;
        next.due = m_feed.now() + connectTimeout;
        return false;
    }
    recordConnected(own.paths, service, m_feed.now());
    queued_request work;
    work.ticket = ++m_lastTicket;
    work.arrived = m_feed.now();
    work.deadline = work.arrived + patience;
    const auto result = requestRoom(own.admission, work, false, m_feed.now());
    if (result == admission_result::admitted) {
        serve(next, next.daemon, false);
    } else if (result == admission_result::queued) {
        next.ticket = work.ticket;
        next.due = work.deadline;
        return false;
    }
    return finish(next, result == admission_result::admitted);
}

bool tunnel_simulation::askForTunnel(request &next)
{
    auto &own = m_nodes[static_cast<std::size_t>(next.daemon)];
    const auto now = m_feed.now();
    const tunnel_purpose purpose{
        service, own.table.proxies.at(own.table.own).proxy.dataCentre, data_centre_id(fmt::format("centre-{}", m_random() % dataCentres))};
    const auto chosen = chooseProxy(own.table, own.uses, purpose, now, m_random());
    if (!chosen || ++next.asked > maxAsked) {
        return finish(next, false);
    }
    if (next.isCounted) {
        ++countsFor(next).asked;
    }
    const auto carrier = daemonAt(chosen->address);
    auto &other = m_nodes[static_cast<std::size_t>(carrier)];
    if (other.isCut) {
        own.uses[chosen->address].avoidedUntil = now + proxyFailureAvoidance;
        next.due = now + askTime;
        return false;
    }
    queued_request work;
    work.ticket = ++m_lastTicket;
    work.arrived = now;
    work.deadline = now + patience;
    const auto result = requestRoom(other.admission, work, true, now);
    if (result == admission_result::refused) {
        own.uses[chosen->address].avoidedUntil = now + proxyFullAvoidance;
        next.due = now + askTime;
        return false;
    }
    ++own.uses[chosen->address].tunnels;
    if (result == admission_result::admitted) {
        serve(next, carrier, true);
        return finish(next, true);
    }
    next.carrier = carrier;
    next.ticket = work.ticket;
    next.due = work.deadline;
    return false;
}

int tunnel_simulation::daemonAt(const endpoint &address) const
{
    return address.port - m_feed.addressOf(0).port;
}

tunnel_simulation::counts tunnel_simulation::atCut() const
{
    return m_atCut;
}

tunnel_simulation::counts tunnel_simulation::atOthers() const
{
    return m_atOthers;
}

int tunnel_simulation::mostCarried() const
{
    int most = 0;
    for (const auto &next : m_nodes) {
        most = std::max(most, next.mostTunnels);
    }
    return most;
}

double tunnel_simulation::meanCarried() const
{
    double sum = 0;
    int carriers = 0;
    for (const auto &next : m_nodes) {
        sum += next.mostTunnels;
        carriers += next.mostTunnels > 0 ? 1 : 0;
    }
    return carriers == 0 ? 0 : sum / carriers;
}

feed_simulation &tunnel_simulation::feed()
{
    return m_feed;
}

} // namespace vetchpost::test
