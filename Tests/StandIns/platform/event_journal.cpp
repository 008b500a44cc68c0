// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/platform/event_journal.h"

#include "Tests/StandIns/fault_switches.h"

#include <poll.h>
#include <random>

namespace vetchpost::test {

namespace {

constexpr int notFound = 404;
/// Enough for a soak of several minutes; older lines are dropped.
constexpr std::size_t maxLines = 1000000;
constexpr duration pollPeriod(10);
constexpr duration maxSilence(60000);

} // namespace

void event_journal::recordEvent(const std::string &what, Json::Value fields)
{
    const std::lock_guard lock(m_mutex);
    fields["n"] = Json::UInt64(++m_last);
    fields["steady_ms"] = Json::Int64(monotonicNow().time_since_epoch().count());
    fields["what"] = what;
    m_lines.emplace_back(m_last, toJsonText(fields) + "\n");
    if (m_lines.size() > maxLines) {
        m_lines.pop_front();
    }
}

std::string event_journal::linesAfter(std::uint64_t number) const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    const auto left = std::min<std::uint64_t>(m_last - std::min(number, m_last), m_lines.size());
    for (auto line = m_lines.end() - static_cast<std::ptrdiff_t>(left); line != m_lines.end(); ++line) {
        text += line->second;
    }
    return text;
}

void fault_probability::set(const Json::Value &json)
{
    m_probability = json.isBool() ? (json.asBool() ? 1 : 0) : json.asDouble();
}

bool fault_probability::occurs() const
{
    thread_local std::minstd_rand generator(std::random_device{}());
    return m_probability > 0 && std::uniform_real_distribution<double>(0, 1)(generator) < m_probability;
}

std::unique_ptr<http_server> serveControl(const endpoint &address,
                                          const event_journal &journal,
                                          std::function<void(const Json::Value &)> setFaults,
                                          std::function<Json::Value()> facts)
{
    auto handle = [&journal, setFaults = std::move(setFaults), facts = std::move(facts)](http_exchange &exchange) {
        if (exchange.path() == "/faults") {
            setFaults(readJsonBody(exchange));
            sendJson(exchange, Json::Value(Json::objectValue));
        } else if (exchange.path() == "/facts") {
            sendJson(exchange, facts());
        } else if (exchange.path() == "/events") {
            exchange.send(200, "application/x-ndjson", journal.linesAfter(std::stoull("0" + exchange.queryParameter("after"))));
        } else {
            exchange.send(notFound, "text/plain", "nothing here\n");
        }
    };
    return std::make_unique<http_server>(address, http_server_limits(), std::move(handle));
}

void leaveUnanswered(http_exchange &exchange, const std::function<bool()> &until)
{
    const auto end = monotonicNow() + maxSilence;
    while (!until() && !hasClientDisconnected(exchange) && monotonicNow() < end) {
        std::this_thread::sleep_for(pollPeriod);
    }
    exchange.abort();
}

bool hasClientDisconnected(const http_exchange &exchange)
{
    pollfd watched{exchange.socketDescriptor(), POLLRDHUP, 0};
    return watched.fd < 0 || poll(&watched, 1, 0) != 0;
}

} // namespace vetchpost::test
