// SPDX-License-Identifier: Apache-2.0
// Measures what the control plane costs one daemon for several cluster sizes. Runs the real exchange code with its real encoding in
// virtual time; the overhead of HTTP and JSON-RPC per message is added as a constant.
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

/// Bytes of overhead of one call and its reply: 165 + 133 bytes of HTTP request line and headers, and 130 of JSON-RPC envelope, as one
/// call to a running daemon has them.
constexpr double envelopeBytes = 430;
/// Processor time of one call and its reply without the digests, in microseconds: 108 for the daemon that replies, the mean of 12,720
/// calls to a running daemon; the calling side is assumed to cost the same.
constexpr double callMicroseconds = 216;
/// Processor time of a daemon without any call (its timers), in percent of a core; derived from the nine idle processes of
/// `bench control` (0.9% at 3.7 calls per second).
constexpr double idlePercent = 0.82;
constexpr duration period(1000);
constexpr double measuredSeconds = 60;

struct control_cost
{
    double processorPercent = 0;
    double kilobytesPerSecond = 0;
    double megabytes = 0;
    double applySecondsMedian = 0;
    double applySecondsMax = 0;
};

/// Simulates the daemons of several data centres, each with its own exchange state and one round of exchanges per second. A pushed
/// configuration takes a random time to arrive.
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
            // Instances per daemon if 350 daemons share 12,000 accelerators, eight per instance.
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
            // The first daemon of a data centre is its coordinator and exchanges with one daemon of each other data centre.
            for (std::size_t other = 0; from == base && other < m_states.size(); other += static_cast<std::size_t>(m_perDataCentre)) {
                if (other != base) {
                    exchange(from,
                             std::min(m_states.size() - 1, other + m_random() % static_cast<std::size_t>(m_perDataCentre)),
                             exchange_scope::wide);
                }
            }
        }
    }

    /// Publishes a new configuration at one daemon, distributes it by push and exchange rounds, and returns for each daemon after how many
    /// seconds it has the configuration; -1 for a daemon that lacks it after 29 rounds.
    std::vector<double> publish()
    {
        const auto major = ++m_published + 1;
        std::vector<double> when(m_states.size(), -1);
        setRegister(m_states[0], {"configuration", major, 0, std::string(50000, 'c')});
        when[0] = 0;
        // Each data centre's coordinator learns of the change from its own watch (one message delay) and pushes it to its members (two
        // message delays). One daemon in twenty misses the push and gets the change in a later round.
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
        auto &initiator = m_states[from];
        auto &responder = m_states[to];
        const auto requestText = toJsonText(toJson(digestOf(initiator, scope)));
        const auto digest = exchangeDigestFrom(*parseJson(requestText));
        applyDigest(responder, digest, m_now);
        const auto reply = toJsonText(toJson(deltaFor(responder, digest, scope)));
        const auto ownDigest = toJsonText(toJson(digestOf(responder, scope)));
        const auto responderDigest = exchangeDigestFrom(*parseJson(ownDigest));
        applyDigest(initiator, responderDigest, m_now);
        applyDelta(initiator, exchangeDeltaFrom(*parseJson(reply)), m_now);
        m_bytes += static_cast<double>(requestText.size() + reply.size() + ownDigest.size()) + envelopeBytes;
        m_calls += 1;
        const auto missingEntries = deltaFor(initiator, responderDigest, scope);
        if (!missingEntries.isEmpty()) {
            const auto delivery = toJsonText(toJson(missingEntries));
            applyDelta(responder, exchangeDeltaFrom(*parseJson(delivery)), m_now);
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
    // Measure the steady state only: all daemons learn of each other first.
    for (int i = 0; i < 40; ++i) {
        model.round();
    }
    control_cost cost;
    cost.megabytes = (residentKilobytes() - memoryBefore) / 1024 / members;
    const auto bytesBefore = model.bytes();
    const auto callsBefore = model.calls();
    const auto processorBefore = processorSeconds();
    for (int i = 0; i < static_cast<int>(measuredSeconds); ++i) {
        model.round();
    }
    const auto calls = (model.calls() - callsBefore) / measuredSeconds / members;
    const auto exchangeSeconds = (processorSeconds() - processorBefore) / measuredSeconds / members;
    // Each call has a sender and a receiver, so on average a daemon bears both halves of one call for each call it sends. Each byte
    // counts twice, as it is sent by one daemon and received by another.
    cost.processorPercent = idlePercent + 100 * (exchangeSeconds + calls * callMicroseconds / 1e6);
    cost.kilobytesPerSecond = 2 * (model.bytes() - bytesBefore) / measuredSeconds / members / 1024;
    std::vector<double> times;
    for (int i = 0; i < 10; ++i) {
        const auto when = model.publish();
        times.insert(times.end(), when.begin(), when.end());
    }
    std::sort(times.begin(), times.end());
    cost.applySecondsMedian = times[times.size() / 2];
    cost.applySecondsMax = times.back();
    return cost;
}

/// Returns the estimated calls to the key-value service per second. Each data centre renews its lease every three seconds and repeats
/// a long-polling watch every thirty; each change takes two calls to accept it and a reply to each data centre's watch.
double keyValueCalls(int dataCentres)
{
    constexpr double renewals = 1 / 3.0;
    constexpr double watches = 1 / 30.0;
    constexpr double changesPerSecond = 2700 / 86400.0;
    constexpr double lossesPerSecond = 105 / 86400.0;
    return dataCentres * (renewals + watches) + changesPerSecond * (2 + dataCentres) + lossesPerSecond * 1.2;
}

/// Returns the calls per second of the baseline, in which every daemon keeps a watch and polls the head once a second.
double naiveKeyValueCalls(int members)
{
    return members * (1.0 + 1 / 30.0);
}

} // namespace

int main()
{
    struct cluster_size
    {
        int members;
        int dataCentres;
    };
    for (const auto &[members, dataCentres] : {cluster_size{9, 3}, cluster_size{40, 3}, cluster_size{120, 9}, cluster_size{350, 9}}) {
        const auto cost = measure(members, dataCentres);
        printFigure({fmt::format("control_cpu_percent_{}", members), cost.processorPercent, "percent_of_a_core", {}, 4.1});
        printFigure({fmt::format("control_bytes_kb_per_s_{}", members), cost.kilobytesPerSecond, "KB/s", {}, 25.0});
        printFigure({fmt::format("control_memory_mb_{}", members), cost.megabytes, "MB", {}, 64.0});
        printFigure(
            {fmt::format("kv_calls_per_s_{}", members), keyValueCalls(dataCentres), "calls/s_worked_out", naiveKeyValueCalls(members), {}});
        printFigure({fmt::format("in_force_median_s_{}", members), cost.applySecondsMedian, "s", {}, 1.0});
        printFigure({fmt::format("in_force_s_{}", members), cost.applySecondsMax, "s", {}, 14.0});
    }
    return 0;
}
