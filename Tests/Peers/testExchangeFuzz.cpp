// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/digest.h"
#include "Libraries/Peers/exchange.h"
#include "Libraries/Peers/exchange_codec.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

struct exchange_step
{
    int kind = 0;
    int subject = 0;
    int amount = 0;
};

void showValue(const exchange_step &step, std::ostream &out)
{
    out << '{' << step.kind << ',' << step.subject << ',' << step.amount << '}';
}

constexpr int daemonCount = 5;

/// Simulates daemons that exchange state over a network that loses, duplicates, delays and reorders messages. The oracle holds the facts
/// that each daemon last published and the highest register version that each daemon has known.
class exchange_simulation
{
public:
    exchange_simulation()
    {
        for (int i = 0; i < daemonCount; ++i) {
            m_states.push_back(makeExchange(daemon_id(fmt::format("d{}", i)), makeIncarnation(1, 60000), liveness_limits()));
            m_ownFacts.emplace_back();
            m_highestMajor.push_back(0);
        }
    }

    void apply(const exchange_step &step)
    {
        m_now += duration(step.amount % 3000);
        const auto from = static_cast<std::size_t>(step.subject) % daemonCount;
        const auto to = static_cast<std::size_t>(step.amount) % daemonCount;
        switch (step.kind % 8) {
        case 0:
            publishFact(from, step.amount % 4, std::to_string(step.amount % 100));
            break;
        case 1:
            publishConfiguration(from);
            break;
        case 2:
            restart(from, step.amount);
            break;
        case 3:
            replayDelta(to, step.amount);
            break;
        case 4:
            advanceHeartbeat(m_states[from], m_now);
            removeDeadDaemons(m_states[from], m_now);
            break;
        default:
            if (from != to) {
                exchange(from, to, step.amount % 7 == 0);
            }
            break;
        }
        check();
    }

    /// Ends all faults and checks that after a few rounds each daemon knows the facts of every daemon and the newest configuration.
    void finish()
    {
        for (int round = 0; round < 12; ++round) {
            m_now += duration(1000);
            for (std::size_t from = 0; from < daemonCount; ++from) {
                advanceHeartbeat(m_states[from], m_now);
                for (std::size_t to = 0; to < daemonCount; ++to) {
                    if (from != to) {
                        exchange(from, to, false);
                    }
                }
            }
        }
        check();
        for (std::size_t observer = 0; observer < daemonCount; ++observer) {
            for (std::size_t origin = 0; origin < daemonCount; ++origin) {
                for (const auto &[name, value] : m_ownFacts[origin]) {
                    if (factOf(m_states[observer], m_states[origin].self, name) != value) {
                        breakRule(fmt::format("d{} does not know that d{} says {}={}: {} | {}",
                                              observer,
                                              origin,
                                              name,
                                              value,
                                              describe(observer, origin),
                                              describe(origin, origin)));
                    }
                }
                if (livenessOf(m_states[observer], m_states[origin].self, m_now) != peer_liveness::alive) {
                    breakRule(fmt::format("d{} takes d{} for not alive", observer, origin));
                }
            }
            // A version that only a restarted daemon knew is lost; the highest remaining one must be known to all.
            if (majorAt(observer) != *std::max_element(m_highestMajor.begin(), m_highestMajor.end())) {
                breakRule(fmt::format("d{} does not know the newest configuration", observer));
            }
        }
    }

    const std::string &violation() const
    {
        return m_violation;
    }

private:
    void breakRule(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what;
        }
    }

    void publishFact(std::size_t daemon, int name, const std::string &value)
    {
        const auto key = fmt::format("f{}", name);
        setFact(m_states[daemon], key, value);
        m_ownFacts[daemon][key] = value;
    }

    void publishConfiguration(std::size_t daemon)
    {
        ++m_published;
        setRegister(m_states[daemon], {"configuration", m_published, 0, fmt::format("v{}", m_published)});
    }

    /// Restarts the daemon's process, with a clock that may be behind that of its previous run.
    void restart(std::size_t daemon, int amount)
    {
        const auto run = makeIncarnation(static_cast<std::uint64_t>(amount) % 50, static_cast<std::uint64_t>(m_restarts) + 1);
        m_states[daemon] = makeExchange(m_states[daemon].self, run, liveness_limits());
        m_ownFacts[daemon].clear();
        m_highestMajor[daemon] = 0;
        m_latestRuns[daemon].clear();
        // The new run publishes a fact at once: without one, a lost fact could not be told from one that never existed.
        publishFact(daemon, 0, fmt::format("born{}", ++m_restarts));
    }

    void exchange(std::size_t from, std::size_t to, bool isReplyLost)
    {
        const auto requestDigest = exchangeDigestFrom(toJson(digestOf(m_states[from], exchange_scope::data_centre)));
        applyDigest(m_states[to], requestDigest, m_now);
        const auto forward = exchangeDeltaFrom(toJson(deltaFor(m_states[to], requestDigest, exchange_scope::data_centre)));
        const auto replyDigest = digestOf(m_states[to], exchange_scope::data_centre);
        recordDelta(forward);
        if (isReplyLost) {
            return;
        }
        applyDigest(m_states[from], replyDigest, m_now);
        applyDelta(m_states[from], forward, m_now);
        const auto returnDelta = deltaFor(m_states[from], replyDigest, exchange_scope::data_centre);
        recordDelta(returnDelta);
        applyDelta(m_states[to], returnDelta, m_now);
    }

    void recordDelta(const exchange_delta &delta)
    {
        m_sentDeltas.push_back(delta);
        if (m_sentDeltas.size() > 40) {
            m_sentDeltas.erase(m_sentDeltas.begin());
        }
    }

    /// Delivers an old message again, possibly to another daemon than before.
    void replayDelta(std::size_t to, int amount)
    {
        if (!m_sentDeltas.empty()) {
            applyDelta(m_states[to], m_sentDeltas[static_cast<std::size_t>(amount) % m_sentDeltas.size()], m_now);
        }
    }

    std::uint64_t majorAt(std::size_t daemon) const
    {
        const auto *value = findRegister(m_states[daemon], "configuration");
        return value == nullptr ? 0 : value->major;
    }

    std::string describe(std::size_t observer, std::size_t origin) const
    {
        const auto found = m_states[observer].origins.find(m_states[origin].self);
        if (found == m_states[observer].origins.end()) {
            return "unknown";
        }
        const auto &known = found->second;
        auto text = fmt::format("run {} version {} heartbeat {}", known.run.value(), known.version, known.heartbeat);
        for (const auto &[name, fact] : known.facts) {
            text += fmt::format(" {}={}@{}", name, fact.value, fact.version);
        }
        return text;
    }

    void check()
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            const auto *value = findRegister(m_states[i], "configuration");
            const auto major = majorAt(i);
            if (major < m_highestMajor[i]) {
                breakRule(fmt::format("the configuration reverted at d{}", i));
            }
            if (value != nullptr && value->value != fmt::format("v{}", value->major)) {
                breakRule("a configuration has another's text");
            }
            m_highestMajor[i] = major;
            for (const auto &[daemon, origin] : m_states[i].origins) {
                auto &latestRun = m_latestRuns[i][daemon];
                if (origin.run < latestRun) {
                    breakRule(fmt::format("d{} went back to an old self of {}", i, daemon.value()));
                }
                latestRun = origin.run;
            }
            for (const auto &[name, ownValue] : m_ownFacts[i]) {
                if (factOf(m_states[i], m_states[i].self, name) != ownValue) {
                    breakRule(fmt::format("d{} forgot what it says of itself", i));
                }
            }
        }
    }

    std::vector<exchange_state> m_states;
    std::vector<std::map<std::string, std::string>> m_ownFacts;
    std::vector<std::uint64_t> m_highestMajor;
    std::array<std::map<daemon_id, incarnation>, daemonCount> m_latestRuns;
    std::vector<exchange_delta> m_sentDeltas;
    std::uint64_t m_published = 0;
    int m_restarts = 0;
    instant m_now{duration(1000000)};
    std::string m_violation;
};

constexpr int stepsPerCase = 80;
constexpr int casesInCi = 150;

rc::Gen<exchange_step> anyStep()
{
    return rc::gen::build<exchange_step>(rc::gen::set(&exchange_step::kind, rc::gen::inRange(0, 12)),
                                         rc::gen::set(&exchange_step::subject, rc::gen::inRange(0, daemonCount)),
                                         rc::gen::set(&exchange_step::amount, rc::gen::inRange(0, 60000)));
}

} // namespace

TEST_CASE("The facts that daemons publish reach all daemons, and no state reverts to an older version", "[fuzz]")
{
    int steps = 0;
    const auto property = [&steps] {
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<exchange_step>>(stepsPerCase, anyStep()));
        exchange_simulation simulation;
        for (const auto &step : plan) {
            simulation.apply(step);
            ++steps;
        }
        if (simulation.violation().empty()) {
            simulation.finish();
        }
        if (!simulation.violation().empty()) {
            RC_FAIL(simulation.violation() + " (step " + std::to_string(steps) + ")");
        }
    };
    checkProperty("exchange", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}
