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

constexpr int daemons = 5;

/// Daemons that exchange over a network that loses, doubles, delays and reorders. The oracle keeps what each daemon last said of
/// itself, and the highest register value that anybody published.
class exchange_world
{
public:
    exchange_world()
    {
        for (int i = 0; i < daemons; ++i) {
            m_states.push_back(makeExchange(daemon_id(fmt::format("d{}", i)), makeIncarnation(1, 60000), liveness_limits()));
            m_said.emplace_back();
            m_seenMajor.push_back(0);
        }
    }

    void apply(const exchange_step &step)
    {
        m_now += duration(step.amount % 3000);
        const auto from = static_cast<std::size_t>(step.subject) % daemons;
        const auto to = static_cast<std::size_t>(step.amount) % daemons;
        switch (step.kind % 8) {
        case 0:
            say(from, step.amount % 4, std::to_string(step.amount % 100));
            break;
        case 1:
            publish(from);
            break;
        case 2:
            restart(from, step.amount);
            break;
        case 3:
            replayOld(to, step.amount);
            break;
        case 4:
            beat(m_states[from], m_now);
            forgetDead(m_states[from], m_now);
            break;
        default:
            if (from != to) {
                exchange(from, to, step.amount % 7 == 0);
            }
            break;
        }
        check();
    }

    /// Ends all faults: after a few rounds everybody knows what everybody says of itself.
    void finish()
    {
        for (int round = 0; round < 12; ++round) {
            m_now += duration(1000);
            for (std::size_t from = 0; from < daemons; ++from) {
                beat(m_states[from], m_now);
                for (std::size_t to = 0; to < daemons; ++to) {
                    if (from != to) {
                        exchange(from, to, false);
                    }
                }
            }
        }
        check();
        for (std::size_t knower = 0; knower < daemons; ++knower) {
            for (std::size_t origin = 0; origin < daemons; ++origin) {
                for (const auto &[name, value] : m_said[origin]) {
                    if (factOf(m_states[knower], m_states[origin].self, name) != value) {
                        breakRule(fmt::format("d{} does not know that d{} says {}={}: {} | {}",
                                              knower,
                                              origin,
                                              name,
                                              value,
                                              describe(knower, origin),
                                              describe(origin, origin)));
                    }
                }
                if (livenessOf(m_states[knower], m_states[origin].self, m_now) != peer_liveness::alive) {
                    breakRule(fmt::format("d{} takes d{} for not alive", knower, origin));
                }
            }
            // What only a daemon knew that was started anew is gone; the highest that is left must be known to all.
            if (majorAt(knower) != *std::max_element(m_seenMajor.begin(), m_seenMajor.end())) {
                breakRule(fmt::format("d{} does not know the newest configuration", knower));
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

    void say(std::size_t daemon, int name, const std::string &value)
    {
        const auto key = fmt::format("f{}", name);
        setFact(m_states[daemon], key, value);
        m_said[daemon][key] = value;
    }

    void publish(std::size_t daemon)
    {
        ++m_published;
        setRegister(m_states[daemon], {"configuration", m_published, 0, fmt::format("v{}", m_published)});
    }

    /// The process is started anew, with a clock that may have fallen behind its last run's.
    void restart(std::size_t daemon, int amount)
    {
        const auto run = makeIncarnation(static_cast<std::uint64_t>(amount) % 50, static_cast<std::uint64_t>(m_births) + 1);
        m_states[daemon] = makeExchange(m_states[daemon].self, run, liveness_limits());
        m_said[daemon].clear();
        m_seenMajor[daemon] = 0;
        m_seenRuns[daemon].clear();
        // It must not take up the name with nothing to say, or nobody could tell a lost fact from none.
        say(daemon, 0, fmt::format("born{}", ++m_births));
    }

    void exchange(std::size_t from, std::size_t to, bool isReplyLost)
    {
        const auto question = exchangeDigestFrom(toJson(digestOf(m_states[from], exchange_scope::data_centre)));
        applyDigest(m_states[to], question, m_now);
        const auto forward = exchangeDeltaFrom(toJson(deltaFor(m_states[to], question, exchange_scope::data_centre)));
        const auto answer = digestOf(m_states[to], exchange_scope::data_centre);
        keep(forward);
        if (isReplyLost) {
            return;
        }
        applyDigest(m_states[from], answer, m_now);
        applyDelta(m_states[from], forward, m_now);
        const auto back = deltaFor(m_states[from], answer, exchange_scope::data_centre);
        keep(back);
        applyDelta(m_states[to], back, m_now);
    }

    void keep(const exchange_delta &delta)
    {
        m_old.push_back(delta);
        if (m_old.size() > 40) {
            m_old.erase(m_old.begin());
        }
    }

    /// A message of long ago arrives again, or arrives at somebody else.
    void replayOld(std::size_t to, int amount)
    {
        if (!m_old.empty()) {
            applyDelta(m_states[to], m_old[static_cast<std::size_t>(amount) % m_old.size()], m_now);
        }
    }

    std::uint64_t majorAt(std::size_t daemon) const
    {
        const auto *value = findRegister(m_states[daemon], "configuration");
        return value == nullptr ? 0 : value->major;
    }

    std::string describe(std::size_t knower, std::size_t origin) const
    {
        const auto found = m_states[knower].origins.find(m_states[origin].self);
        if (found == m_states[knower].origins.end()) {
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
        for (std::size_t i = 0; i < daemons; ++i) {
            const auto *value = findRegister(m_states[i], "configuration");
            const auto major = majorAt(i);
            if (major < m_seenMajor[i]) {
                breakRule(fmt::format("the configuration reverted at d{}", i));
            }
            if (value != nullptr && value->value != fmt::format("v{}", value->major)) {
                breakRule("a configuration has another's text");
            }
            m_seenMajor[i] = major;
            for (const auto &[daemon, origin] : m_states[i].origins) {
                auto &seen = m_seenRuns[i][daemon];
                if (origin.run < seen) {
                    breakRule(fmt::format("d{} went back to an old self of {}", i, daemon.value()));
                }
                seen = origin.run;
            }
            for (const auto &[name, said] : m_said[i]) {
                if (factOf(m_states[i], m_states[i].self, name) != said) {
                    breakRule(fmt::format("d{} forgot what it says of itself", i));
                }
            }
        }
    }

    std::vector<exchange_state> m_states;
    std::vector<std::map<std::string, std::string>> m_said;
    std::vector<std::uint64_t> m_seenMajor;
    std::array<std::map<daemon_id, incarnation>, daemons> m_seenRuns;
    std::vector<exchange_delta> m_old;
    std::uint64_t m_published = 0;
    int m_births = 0;
    instant m_now{duration(1000000)};
    std::string m_violation;
};

constexpr int stepsPerCase = 80;
constexpr int casesInCi = 150;

rc::Gen<exchange_step> anyStep()
{
    return rc::gen::build<exchange_step>(rc::gen::set(&exchange_step::kind, rc::gen::inRange(0, 12)),
                                         rc::gen::set(&exchange_step::subject, rc::gen::inRange(0, daemons)),
                                         rc::gen::set(&exchange_step::amount, rc::gen::inRange(0, 60000)));
}

} // namespace

TEST_CASE("What daemons say of themselves reaches all, and nothing ever reverts", "[fuzz]")
{
    int steps = 0;
    const auto property = [&steps] {
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<exchange_step>>(stepsPerCase, anyStep()));
        exchange_world world;
        for (const auto &step : plan) {
            world.apply(step);
            ++steps;
        }
        if (world.violation().empty()) {
            world.finish();
        }
        if (!world.violation().empty()) {
            RC_FAIL(world.violation() + " (step " + std::to_string(steps) + ")");
        }
    };
    checkProperty("exchange", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}
