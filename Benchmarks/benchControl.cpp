// SPDX-License-Identifier: Apache-2.0
// What control costs a daemon at several numbers of members: the real exchange code over its real wire form, in virtual time.
// The HTTP and JSON-RPC around a message is added from a measured constant.
#include "Benchmarks/figure.h"
#include "Libraries/Base/json.h"
#include "Libraries/Peers/exchange.h"
#include "Libraries/Peers/exchange_codec.h"
#include "Libraries/Peers/exchange_targets.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <random>

namespace {

using namespace vetchpost;
using namespace vetchpost::bench;

/// Headers, request line and JSON-RPC envelope of one call and its reply: 165 + 133 bytes of HTTP and 130 of JSON-RPC, by one call
/// to a running daemon.
constexpr double envelopeBytes = 430;
/// Processor time of one call and its answer without the digests: 108 us for answering, by 12,720 calls to a running daemon; calling is
/// taken for as much.
constexpr double callMicroseconds = 216;
/// What a daemon uses without any call: its timers, by bench control's nine idle processes (0.9% at 3.7 calls a second).
constexpr double idlePercent = 0.82;
constexpr duration period(1000);
constexpr double secondsMeasured = 60;

struct control_cost
{
    double processorPercent = 0;
    double kilobytesPerSecond = 0;
    double megabytes = 0;
    double inForceMedian = 0;
    double inForceWorst = 0;
};

/// Daemons in data centres, each a state of its own; a round a second, messages take a random time.
class control_model
{
public:
    control_model(int members, int dataCentres, std::uint64_t seed)
        : m_random(seed)
        , m_perDataCentre(std::max(1, members / dataCentres))
        , m_members(members)
    {
        for (int i = 0; i < members; ++i) {
            m_states.push_back(makeExchange(
                daemon_id(fmt::format("daemon-{:03}", i)), makeIncarnation(1764000000000ULL, static_cast<std::uint64_t>(i)), {}));
            auto &state = m_states.back();
            setFact(state, "about", std::string(220, 'a'));
            // A daemon's share of 12,000 accelerators over 350 daemons, eight to an instance.
            for (int instance = 0; instance < 5; ++instance) {
                setFact(state, fmt::format("i/instance-{:03}-{}", i, instance), std::string(230, 's'));
            }
        }
        for (auto &state : m_states) {
            setRegister(state, {"configuration", 1, 0, std::string(50000, 'c')});
            setRegister(state, {"local/allotment", 1, 0, std::string(60000, 'g')});
            for (int dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
                setRegister(state, {fmt::format("summary/{}", dataCentre), 1, 0, std::string(24000, 's')});
                setRegister(state, {fmt::format("alive/{}", dataCentre), 1, 0, "1"});
            }
        }
    }

    void round()
    {
        m_now += period;
        for (std::size_t from = 0; from < m_states.size(); ++from) {
            advanceHeartbeat(m_states[from], m_now);
        }
        for (std::size_t from = 0; from < m_states.size(); ++from) {
            const auto base = from / static_cast<std::size_t>(m_perDataCentre) * static_cast<std::size_t>(m_perDataCentre);
            const auto size = std::min(static_cast<std::size_t>(m_perDataCentre), m_states.size() - base);
            if (size > 1) {
                auto to = base + m_random() % size;
                to = to == from ? base + (to - base + 1) % size : to;
                exchange(from, to, exchange_scope::data_centre);
            }
            // The first daemon of a data centre coordinates it and speaks with one of each other.
            for (std::size_t other = 0; from == base && other < m_states.size(); other += static_cast<std::size_t>(m_perDataCentre)) {
                if (other != base) {
                    exchange(from,
                             std::min(m_states.size() - 1, other + m_random() % static_cast<std::size_t>(m_perDataCentre)),
                             exchange_scope::wide);
                }
            }
        }
    }

    /// A new configuration is published at one daemon and pushed as the daemons push it; when each has it, in seconds.
    std::vector<double> publish()
    {
        const auto major = ++m_published + 1;
        std::vector<double> when(m_states.size(), -1);
        setRegister(m_states[0], {"configuration", major, 0, std::string(50000, 'c')});
        when[0] = 0;
        // Each data centre's coordinator sees the change by its own watch and pushes to its members: one message time for the watch,
        // two for an exchange. One daemon in twenty misses its push and is healed by the rounds.
        std::uniform_real_distribution<double> message(0.0005, 0.06);
        for (std::size_t base = 0; base < m_states.size(); base += static_cast<std::size_t>(m_perDataCentre)) {
            const auto seen = base == 0 ? 0 : message(m_random);
            setRegister(m_states[base], {"configuration", major, 0, std::string(50000, 'c')});
            when[base] = seen;
            for (auto to = base + 1; to < std::min(m_states.size(), base + static_cast<std::size_t>(m_perDataCentre)); ++to) {
                if (m_random() % 20 != 0) {
                    setRegister(m_states[to], *findRegister(m_states[base], "configuration"));
                    when[to] = seen + 2 * message(m_random);
                }
            }
        }
        for (int second = 1; second < 30 && std::count(when.begin(), when.end(), -1) > 0; ++second) {
            round();
            for (std::size_t i = 0; i < m_states.size(); ++i) {
                if (when[i] < 0 && findRegister(m_states[i], "configuration")->major == major) {
                    when[i] = second;
                }
            }
        }
        return when;
    }

    double bytes() const
    {
        return m_bytes;
    }

    double calls() const
    {
        return m_calls;
    }

    int members() const
    {
        return m_members;
    }

private:
    void exchange(std::size_t from, std::size_t to, exchange_scope scope)
    {
        auto &asking = m_states[from];
        auto &answering = m_states[to];
        const auto question = toJsonText(toJson(digestOf(asking, scope)));
        const auto digest = exchangeDigestFrom(*parseJson(question));
        applyDigest(answering, digest, m_now);
        const auto reply = toJsonText(toJson(deltaFor(answering, digest, scope)));
        const auto ownDigest = toJsonText(toJson(digestOf(answering, scope)));
        const auto theirs = exchangeDigestFrom(*parseJson(ownDigest));
        applyDigest(asking, theirs, m_now);
        applyDelta(asking, exchangeDeltaFrom(*parseJson(reply)), m_now);
        m_bytes += static_cast<double>(question.size() + reply.size() + ownDigest.size()) + envelopeBytes;
        m_calls += 1;
        const auto lacked = deltaFor(asking, theirs, scope);
        if (!lacked.isEmpty()) {
            const auto delivery = toJsonText(toJson(lacked));
            applyDelta(answering, exchangeDeltaFrom(*parseJson(delivery)), m_now);
            m_bytes += static_cast<double>(delivery.size()) + envelopeBytes;
            m_calls += 1;
        }
    }

    std::vector<exchange_state> m_states;
    std::mt19937_64 m_random;
    int m_perDataCentre;
    int m_members;
    std::uint64_t m_published = 0;
    double m_bytes = 0;
    double m_calls = 0;
    instant m_now{duration(1000000)};
};

control_cost measure(int members, int dataCentres)
{
    const auto memoryBefore = residentKilobytes();
    control_model model(members, dataCentres, 20261202);
    // Everybody learns of everybody first; the steady state is what is measured.
    for (int i = 0; i < 40; ++i) {
        model.round();
    }
    control_cost cost;
    cost.megabytes = (residentKilobytes() - memoryBefore) / 1024 / members;
    const auto bytesBefore = model.bytes();
    const auto callsBefore = model.calls();
    const auto processorBefore = processorSeconds();
    for (int i = 0; i < static_cast<int>(secondsMeasured); ++i) {
        model.round();
    }
    const auto calls = (model.calls() - callsBefore) / secondsMeasured / members;
    const auto exchangeSeconds = (processorSeconds() - processorBefore) / secondsMeasured / members;
    // Each call is sent by one daemon and answered by another: a daemon's part is both halves of its average call, and each byte is
    // sent once and received once.
    cost.processorPercent = idlePercent + 100 * (exchangeSeconds + calls * callMicroseconds / 1e6);
    cost.kilobytesPerSecond = 2 * (model.bytes() - bytesBefore) / secondsMeasured / members / 1024;
    std::vector<double> times;
    for (int i = 0; i < 10; ++i) {
        const auto when = model.publish();
        times.insert(times.end(), when.begin(), when.end());
    }
    std::sort(times.begin(), times.end());
    cost.inForceMedian = times[times.size() / 2];
    cost.inForceWorst = times.back();
    return cost;
}

/// Calls to the key-value service a second: per data centre a renewal every three seconds and a waiting watch of thirty, and per
/// change an acceptance of two calls and the watches' answers.
double keyValueCalls(int dataCentres)
{
    constexpr double renewals = 1 / 3.0;
    constexpr double watches = 1 / 30.0;
    constexpr double changesPerSecond = 2700 / 86400.0;
    constexpr double lossesPerSecond = 105 / 86400.0;
    return dataCentres * (renewals + watches) + changesPerSecond * (2 + dataCentres) + lossesPerSecond * 1.2;
}

/// The naive version: every daemon holds a watch and polls the head once a second.
double naiveKeyValueCalls(int members)
{
    return members * (1.0 + 1 / 30.0);
}

} // namespace

int main()
{
    struct size
    {
        int members;
        int dataCentres;
    };
    for (const auto &[members, dataCentres] : {size{9, 3}, size{40, 3}, size{120, 9}, size{350, 9}}) {
        const auto cost = measure(members, dataCentres);
        printFigure({fmt::format("control_cpu_percent_{}", members), cost.processorPercent, "percent_of_a_core", {}, 4.1});
        printFigure({fmt::format("control_bytes_kb_per_s_{}", members), cost.kilobytesPerSecond, "KB/s", {}, 25.0});
        printFigure({fmt::format("control_memory_mb_{}", members), cost.megabytes, "MB", {}, 64.0});
        printFigure(
            {fmt::format("kv_calls_per_s_{}", members), keyValueCalls(dataCentres), "calls/s_worked_out", naiveKeyValueCalls(members), {}});
        printFigure({fmt::format("in_force_median_s_{}", members), cost.inForceMedian, "s", {}, 1.0});
        printFigure({fmt::format("in_force_s_{}", members), cost.inForceWorst, "s", {}, 14.0});
    }
    return 0;
}
