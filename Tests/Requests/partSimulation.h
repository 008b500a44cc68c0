// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/part_history.h"
#include "Libraries/Requests/part_suspects.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vetchpost::test {

/// How the prompts of a simulated load are made up.
struct part_load
{
    int daemons = 8;
    int replicas = 16;
    double requestsPerSecond = 150;
    /// Whether all requests have one part in common.
    bool hasCommonPart = false;
    /// Number of first parts, of which a few are used the most.
    int firstParts = 60;
    /// Number of requests, one after the other, that share a part which no other requests have; 0 for no such parts.
    int requestsPerSession = 0;
    /// Parts that crash each replica, and how many requests per second have one of them.
    std::vector<std::string> deadlyParts;
    double deadlyPerSecond = 0;
    /// Whether the deadly requests all have the same first part.
    bool hasOneFirstPart = false;
};

/// Simulates requests at replicas of which some terminate at random, all of a rack at once, or by a part of a prompt. The evidence is
/// gathered as by the daemons; all of them share one table without delay.
class part_simulation
{
public:
    part_simulation(part_load load, unsigned seed);

    void advance(duration time);
    /// Terminates a random replica.
    void terminateOne();
    /// Terminates \a count replicas at the same moment.
    void terminateRack(int count);
    /// Begins or ends the deadly requests.
    void setDeadly(bool isOn);

    /// Sound requests that lost a replica, and those of them that were refused afterwards.
    int lost() const;
    int lostAndRefused() const;
    /// Sound requests that arrived, and were refused on arrival.
    int arrived() const;
    int refused() const;
    /// Sound requests with the first part of a deadly one that arrived, and were refused.
    int akinArrived() const;
    int akinRefused() const;
    /// Replicas that deadly requests have terminated.
    int deadlyEnds() const;
    const part_suspects &table() const;

private:
    struct attempt
    {
        int daemon = 0;
        std::uint64_t request = 0;
        std::vector<prompt_part> parts;
        bool isDeadly = false;
        bool isRetry = false;
        instant headAt;
        instant firstPieceAt;
        instant endsAt;
    };
    struct replica
    {
        std::vector<attempt> attempts;
        std::uint64_t incarnation = 0;
        instant downUntil;
    };

    void arrive(bool isDeadly);
    void send(attempt next);
    void terminate(std::size_t index);
    bool isRefused(const attempt &next) const;
    std::vector<prompt_part> makeParts(bool isDeadly);
    double draw();

    part_load m_load;
    std::mt19937 m_random;
    instant m_now{duration(1000000)};
    part_suspects m_table;
    std::vector<part_history> m_histories;
    std::vector<replica> m_replicas;
    std::uint64_t m_lastRequest = 0;
    double m_owed = 0;
    double m_owedDeadly = 0;
    bool m_isDeadlyOn = false;
    std::set<prompt_part> m_akin;
    int m_lost = 0;
    int m_lostAndRefused = 0;
    int m_arrived = 0;
    int m_refused = 0;
    int m_akinArrived = 0;
    int m_akinRefused = 0;
    int m_deadlyEnds = 0;
};

} // namespace vetchpost::test
