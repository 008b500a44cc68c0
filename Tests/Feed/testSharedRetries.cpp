// SPDX-License-Identifier: Apache-2.0
// The number of daemons by which each of them divides the retries that all of them share.
#include "Libraries/Requests/retry_limit.h"
#include "Tests/Feed/feedSimulation.h"

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <iostream>
#include <numeric>
#include <random>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr int dataCentres = 3;
constexpr double requestsPerDaemon = 50;
/// The daemons know each other, and have held their parts for a window.
constexpr duration settled(22000);
constexpr duration step(500);
constexpr duration partitionTime(120000);

/// The parts of all daemons of a simulation, each with what it may send within the window that ends now.
class fleet_parts
{
public:
    fleet_parts(feed_simulation &simulation, const retry_limit &limit)
        : m_simulation(simulation)
        , m_limit(limit)
        , m_recent(static_cast<std::size_t>(simulation.daemons()))
    {
    }

    /// Advances the simulation, and records the parts after each step.
    void advance(duration time)
    {
        for (const auto end = m_simulation.now() + time; m_simulation.now() < end;) {
            m_simulation.advance(step);
            for (int daemon = 0; daemon < m_simulation.daemons(); ++daemon) {
                record(daemon);
            }
        }
    }

    /// Returns the retries that all daemons may send within the window that ends now. A daemon that holds different parts within the window
    /// may use up the largest of them.
    double allRetries() const
    {
        return std::accumulate(m_recent.begin(), m_recent.end(), 0.0, [&](double sum, const auto &parts) {
            double largest = 0;
            for (const auto &[at, part] : parts) {
                largest = std::max(largest, part);
            }
            return sum + largest;
        });
    }

private:
    void record(int daemon)
    {
        auto &parts = m_recent[static_cast<std::size_t>(daemon)];
        const auto now = m_simulation.now();
        const auto known = m_simulation.knownDaemonCount(daemon);
        limited_retries retries;
        updateRetries(
            retries, m_limit, known ? std::optional(known->daemons) : std::nullopt, known ? now - known->knownSince : m_limit.window);
        parts.emplace_back(now, retries.budget.available + requestsPerDaemon * retries.budget.share);
        while (now - parts.front().first >= m_limit.window) {
            parts.pop_front();
        }
    }

    feed_simulation &m_simulation;
    retry_limit m_limit;
    /// What each daemon may send, with the time of that, within the last window.
    std::vector<std::deque<std::pair<instant, double>>> m_recent;
};

/// Returns the daemons from 0 to \a end - 1.
std::set<int> firstDaemons(int end)
{
    std::set<int> result;
    for (int daemon = 0; daemon < end; ++daemon) {
        result.insert(daemon);
    }
    return result;
}

struct fleet
{
    int daemons;
    int slack;
};

constexpr std::array<fleet, 3> fleets = {fleet{7, 134}, fleet{16, 134}, fleet{79, 273}};

double allowedRetries(const retry_limit &limit, int daemons)
{
    return limit.share * requestsPerDaemon * daemons + limit.slack;
}

} // namespace

TEST_CASE("Daemons that cannot reach each other for minutes stay within the limit on retries together")
{
    for (const auto &[daemons, slack] : fleets) {
        const retry_limit limit{0.2, slack, duration(10000)};
        const auto allowed = allowedRetries(limit, daemons);
        for (const int withSource : {1, 3, daemons / 2, daemons - 1}) {
            feed_simulation simulation(daemons, dataCentres);
            simulation.advance(settled);
            fleet_parts parts(simulation, limit);
            parts.advance(step);
            CHECK(parts.allRetries() >= allowed / 2);
            simulation.partition(firstDaemons(withSource));
            for (duration passed{}; passed < partitionTime; passed += step) {
                parts.advance(step);
                CAPTURE(daemons, withSource, passed.count());
                REQUIRE(parts.allRetries() <= allowed);
            }
            simulation.partition({});
            simulation.advance(settled);
            // Daemons without a source would look the coordinator up in the key-value service.
            simulation.announceCoordinator(0);
            simulation.advance(settled);
            CHECK(simulation.knownDaemons(daemons - 1) == daemons);
        }
    }
}

// The daemons that restart know nothing of those on the other side, which still hold their parts.
TEST_CASE("Daemons that restart on one side of a partition stay within the limit on retries together with the other side")
{
    for (const auto &[daemons, slack] : fleets) {
        const retry_limit limit{0.2, slack, duration(10000)};
        for (const int withSource : {1, 2, 3, daemons / 2}) {
            for (const bool restartsSource : {false, true}) {
                feed_simulation simulation(daemons, dataCentres);
                simulation.advance(settled);
                fleet_parts parts(simulation, limit);
                simulation.partition(firstDaemons(withSource));
                parts.advance(duration(6000));
                for (int daemon = restartsSource ? 0 : 1; daemon < withSource; ++daemon) {
                    simulation.restart(daemon);
                }
                for (duration passed{}; passed < partitionTime; passed += step) {
                    parts.advance(step);
                    CAPTURE(daemons, withSource, restartsSource, passed.count());
                    REQUIRE(parts.allRetries() <= allowedRetries(limit, daemons));
                }
            }
        }
    }
}

namespace {

/// Plays partitions, restarts and changes of the coordinator that follow each other at random and overlap.
class fleet_faults
{
public:
    fleet_faults(feed_simulation &simulation, std::uint32_t seed)
        : m_simulation(simulation)
        , m_random(seed)
    {
    }

    void playNext()
    {
        switch (below(4)) {
        case 0:
            m_simulation.partition({});
            break;
        case 1:
            m_simulation.partition(someDaemons());
            break;
        case 2:
            for (const int daemon : someDaemons()) {
                m_simulation.restart(daemon);
            }
            break;
        default:
            changeSource();
        }
    }

    /// Daemons without a source look the coordinator up in the key-value service.
    void lookUpCoordinator()
    {
        m_simulation.announceCoordinator(m_source);
    }

    duration untilNext()
    {
        return step * (1 + below(30));
    }

private:
    int below(int limit)
    {
        return static_cast<int>(m_random() % static_cast<std::uint32_t>(limit));
    }

    std::set<int> someDaemons()
    {
        std::set<int> result;
        for (int daemon = 0; daemon < m_simulation.daemons(); ++daemon) {
            if (below(2) == 0) {
                result.insert(daemon);
            }
        }
        return result;
    }

    void changeSource()
    {
        const int predecessor = m_source;
        m_simulation.stepDown(predecessor);
        m_source = below(m_simulation.daemons());
        m_simulation.makeSource(m_source);
        if (m_source != predecessor && below(2) == 0) {
            m_simulation.restart(predecessor);
        }
    }

    feed_simulation &m_simulation;
    std::mt19937 m_random;
    int m_source = 0;
};

} // namespace

TEST_CASE("Daemons stay within the limit on retries together, whatever is partitioned, restarts and coordinates in whatever order")
{
    constexpr int seeds = 12;
    constexpr int faults = 40;
    constexpr double lostDatagrams = 0.05;
    for (const auto &[daemons, slack] : {fleet{7, 134}, fleet{16, 134}}) {
        const retry_limit limit{0.2, slack, duration(10000)};
        double fullest = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            feed_simulation simulation(daemons, dataCentres);
            simulation.setDatagramLoss(lostDatagrams);
            simulation.advance(settled);
            fleet_parts parts(simulation, limit);
            fleet_faults all(simulation, seed);
            for (int fault = 0; fault < faults; ++fault) {
                all.playNext();
                for (auto left = all.untilNext(); left > duration(); left -= step) {
                    parts.advance(step);
                    all.lookUpCoordinator();
                    CAPTURE(daemons, seed, fault);
                    REQUIRE(parts.allRetries() <= allowedRetries(limit, daemons));
                    fullest = std::max(fullest, parts.allRetries() / allowedRetries(limit, daemons));
                }
            }
        }
        std::cout << daemons << " daemons: at most " << fullest << " of the allowed retries\n";
    }
}
