// SPDX-License-Identifier: Apache-2.0
#include "Tests/Requests/partSimulation.h"

#include <fmt/format.h>

#include <algorithm>

namespace vetchpost::test {

namespace {

const model_id model("m");
constexpr duration tickTime(10);
/// From a request's arrival to the head of its answer, from there to the first piece, and to the end.
constexpr duration timeToHead(150);
constexpr duration timeToPiece(50);
constexpr duration timeToEnd(900);
/// A replica crashes this long after it has begun to answer a deadly request.
constexpr int longestTimeToCrash = 120;
constexpr duration downtime(4000);

part_identity identityFor(const prompt_part &part)
{
    return part_identity(part.value());
}

} // namespace

part_simulation::part_simulation(part_load load, unsigned seed)
    : m_load(std::move(load))
    , m_random(seed)
    , m_histories(static_cast<std::size_t>(m_load.daemons))
    , m_replicas(static_cast<std::size_t>(m_load.replicas))
{
}

double part_simulation::draw()
{
    return static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max());
}

std::vector<prompt_part> part_simulation::makeParts(bool isDeadly)
{
    std::vector<prompt_part> parts;
    if (m_load.hasCommonPart) {
        parts.emplace_back("common");
    }
    // The square makes the lower numbers more frequent.
    const auto first = isDeadly && m_load.hasOneFirstPart ? 0 : static_cast<int>(draw() * draw() * m_load.firstParts);
    parts.emplace_back(fmt::format("first-{}", first));
    if (m_load.requestsPerSession > 0) {
        parts.emplace_back(fmt::format("session-{}", m_lastRequest / static_cast<std::uint64_t>(m_load.requestsPerSession)));
    }
    if (isDeadly) {
        m_akin.insert(parts.back());
        parts.emplace_back(m_load.deadlyParts[m_random() % m_load.deadlyParts.size()]);
    }
    return parts;
}

bool part_simulation::isRefused(const attempt &next) const
{
    std::set<part_identity> parts;
    for (const auto &part : next.parts) {
        parts.insert(identityFor(part));
    }
    return refusedFor(
               m_table, model, parts, [](const part_identity & /*part*/) { return false; }, m_now)
        .has_value();
}

void part_simulation::arrive(bool isDeadly)
{
    attempt next;
    next.request = ++m_lastRequest;
    next.daemon = static_cast<int>(m_random() % static_cast<unsigned>(m_load.daemons));
    next.parts = makeParts(isDeadly);
    next.isDeadly = isDeadly;
    const bool isRefusedNow = isRefused(next);
    if (!isDeadly) {
        const bool isAkin
            = std::any_of(next.parts.begin(), next.parts.end(), [&](const prompt_part &part) { return m_akin.contains(part); });
        ++m_arrived;
        m_refused += isRefusedNow ? 1 : 0;
        m_akinArrived += isAkin ? 1 : 0;
        m_akinRefused += isAkin && isRefusedNow ? 1 : 0;
    }
    if (!isRefusedNow) {
        send(std::move(next));
    }
}

/// Sends the request to a replica that is up, if there is one.
void part_simulation::send(attempt next)
{
    std::vector<replica *> up;
    for (auto &candidate : m_replicas) {
        if (candidate.downUntil <= m_now) {
            up.push_back(&candidate);
        }
    }
    if (up.empty()) {
        return;
    }
    next.headAt = m_now + timeToHead;
    next.firstPieceAt = next.isDeadly ? instant::max() : next.headAt + timeToPiece;
    next.endsAt = next.isDeadly ? next.headAt + duration(20 + static_cast<int>(m_random() % longestTimeToCrash)) : m_now + timeToEnd;
    up[m_random() % up.size()]->attempts.push_back(std::move(next));
}

void part_simulation::terminate(std::size_t index)
{
    auto &ended = m_replicas[index];
    const auto end = replicaEndOf(fmt::format("i-{}", index), ended.incarnation++);
    ended.downUntil = m_now + downtime;
    const auto attempts = std::move(ended.attempts);
    ended.attempts.clear();
    std::vector<const attempt *> retried;
    for (const auto &lost : attempts) {
        const auto stage = m_now < lost.headAt      ? lost_stage::waiting
            : m_now < lost.firstPieceAt             ? lost_stage::begun
            : m_now - lost.headAt < firstPiecesTime ? lost_stage::first_pieces
                                                    : lost_stage::answering;
        bool namesPart = false;
        for (const auto &part : lost.parts) {
            const auto answered = lastAnswerBegan(m_histories[static_cast<std::size_t>(lost.daemon)], model, part, m_now);
            const auto weight = weightOfLoss(stage, answered ? std::optional(m_now - *answered) : std::nullopt);
            if (weight > 0) {
                recordPartEnd(m_table, {model, identityFor(part)}, end, {weight, m_now, lost.request});
                namesPart = namesPart || weight >= fullEnd;
            }
        }
        if (!lost.isRetry && !namesPart) {
            retried.push_back(&lost);
        }
        m_lost += lost.isDeadly ? 0 : 1;
    }
    assess(m_table);
    for (const auto &lost : attempts) {
        m_lostAndRefused += !lost.isDeadly && isRefused(lost) ? 1 : 0;
    }
    for (const auto *lost : retried) {
        if (!isRefused(*lost)) {
            auto again = *lost;
            again.isRetry = true;
            send(std::move(again));
        }
    }
}

void part_simulation::advance(duration time)
{
    for (const auto until = m_now + time; m_now < until; m_now += tickTime) {
        constexpr double ticksPerSecond = 100;
        for (m_owed += m_load.requestsPerSecond / ticksPerSecond; m_owed >= 1; m_owed -= 1) {
            arrive(false);
        }
        m_owedDeadly += m_isDeadlyOn ? m_load.deadlyPerSecond / ticksPerSecond : 0;
        for (; m_owedDeadly >= 1; m_owedDeadly -= 1) {
            arrive(true);
        }
        for (std::size_t index = 0; index < m_replicas.size(); ++index) {
            auto &next = m_replicas[index];
            bool hasCrashed = false;
            // An attempt that waits is withdrawn once it is refused.
            std::erase_if(next.attempts, [&](const attempt &running) { return m_now < running.headAt && isRefused(running); });
            for (const auto &running : next.attempts) {
                hasCrashed = hasCrashed || (running.isDeadly && running.endsAt <= m_now);
            }
            if (hasCrashed) {
                ++m_deadlyEnds;
                terminate(index);
                continue;
            }
            bool hasCleared = false;
            std::erase_if(next.attempts, [&](const attempt &running) {
                if (running.endsAt > m_now) {
                    return false;
                }
                for (const auto &part : running.parts) {
                    recordPartAnswer(m_histories[static_cast<std::size_t>(running.daemon)], model, part, running.headAt, m_now);
                    hasCleared = clearPart(m_table, {model, identityFor(part)}, running.headAt) || hasCleared;
                }
                return true;
            });
            if (hasCleared) {
                assess(m_table);
            }
        }
    }
}

void part_simulation::terminateOne()
{
    terminate(m_random() % m_replicas.size());
}

void part_simulation::terminateRack(int count)
{
    const auto first = m_random() % m_replicas.size();
    for (int number = 0; number < count; ++number) {
        terminate((first + static_cast<std::size_t>(number)) % m_replicas.size());
    }
}

void part_simulation::setDeadly(bool isOn)
{
    m_isDeadlyOn = isOn;
}

int part_simulation::lost() const
{
    return m_lost;
}

int part_simulation::lostAndRefused() const
{
    return m_lostAndRefused;
}

int part_simulation::arrived() const
{
    return m_arrived;
}

int part_simulation::refused() const
{
    return m_refused;
}

int part_simulation::akinArrived() const
{
    return m_akinArrived;
}

int part_simulation::akinRefused() const
{
    return m_akinRefused;
}

int part_simulation::deadlyEnds() const
{
    return m_deadlyEnds;
}

const part_suspects &part_simulation::table() const
{
    return m_table;
}

} // namespace vetchpost::test
