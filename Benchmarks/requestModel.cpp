// SPDX-License-Identifier: Apache-2.0
#include "Benchmarks/requestModel.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Requests/fair_queue.h"
#include "Libraries/Requests/replica_limit.h"
#include "Libraries/Requests/retry_budget.h"
#include "Libraries/Requests/router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <random>

namespace vetchpost::bench {

namespace {

constexpr int slowReplicaFactor = 5;
constexpr int maxBlindRetries = 3;

struct model_request
{
    std::size_t load = 0;
    std::uint64_t prefix = 0;
    instant arrived;
    int attempts = 0;
    bool isDone = false;
};

struct waiting_request
{
    std::uint64_t request = 0;
    instant sent;
};

/// A replica with slots, its own queue in front of them, and a cache of prompt prefixes.
struct model_replica
{
    int running = 0;
    std::deque<waiting_request> queue;
    std::list<std::uint64_t> cache;
    int inFlight = 0;
    int reported = 0;
    int sentSince = 0;
    double firstToken = 0;
    replica_limit limit;
};

class request_simulation
{
public:
    explicit request_simulation(const model_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_replicas(static_cast<std::size_t>(options.replicas))
    {
        for (int i = 0; i < options.replicas; ++i) {
            m_places.push_back(hashOf("group" + std::to_string(i)));
        }
        std::sort(m_places.begin(), m_places.end());
        m_queue.limits.maxLength = 4000;
        m_result.loads.resize(options.loads.size());
        double sum = 0;
        for (int i = 1; i <= options.prefixes; ++i) {
            sum += 1 / std::pow(i, options.prefixSkew);
            m_prefixShares.push_back(sum);
        }
    }

    model_result run()
    {
        for (std::size_t load = 0; load < m_options.loads.size(); ++load) {
            scheduleArrival(load);
        }
        report();
        const auto end = instant() + m_options.length;
        while (!m_events.empty() && m_events.top().at < end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return std::move(m_result);
    }

private:
    struct timed_event
    {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const timed_event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(duration time, std::function<void()> run)
    {
        m_events.push({m_now + time, ++m_order, std::move(run)});
    }

    double randomFraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void scheduleArrival(std::size_t load)
    {
        const auto gap = std::exponential_distribution<double>(m_options.loads[load].requestsPerSecond)(m_random);
        schedule(duration(static_cast<std::int64_t>(gap * 1000)), [this, load] {
            arrive(load);
            scheduleArrival(load);
        });
    }

    void report()
    {
        for (auto &replica : m_replicas) {
            replica.reported = replica.running + static_cast<int>(replica.queue.size());
            replica.sentSince = 0;
            applyReport(replica.limit, {replica.running, static_cast<int>(replica.queue.size()), 1, replica.inFlight}, m_now);
        }
        schedule(m_options.reportLag, [this] { report(); });
    }

    void arrive(std::size_t load)
    {
        const auto rank = std::lower_bound(m_prefixShares.begin(), m_prefixShares.end(), randomFraction() * m_prefixShares.back());
        const auto id = m_requests.size();
        m_requests.push_back({load, hashOf(std::to_string(rank - m_prefixShares.begin())), m_now, 0, false});
        m_result.loads[load].offered += 1;
        if (m_options.isNaive) {
            sendToRandomReplica(id);
        } else {
            admit(id);
        }
    }

    // The baseline gateway.

    void sendToRandomReplica(std::uint64_t id)
    {
        auto &request = m_requests[id];
        ++request.attempts;
        send(id, static_cast<std::size_t>(randomFraction() * static_cast<double>(m_replicas.size())));
        schedule(m_options.deadline, [this, id] {
            if (!m_requests[id].isDone && m_requests[id].attempts <= maxBlindRetries) {
                sendToRandomReplica(id);
            }
        });
    }

    // Admission, queueing and routing as the daemon does them.

    void admit(std::uint64_t id)
    {
        const auto &request = m_requests[id];
        const auto &load = m_options.loads[request.load];
        const queued_request entry{id,
                                   organisation_id(std::to_string(request.load)),
                                   load.priority,
                                   load.weight,
                                   static_cast<double>(m_options.tokens),
                                   m_now,
                                   m_now + m_options.deadline - m_options.prefillMiss};
        const auto wait = expectedWait(m_queue, entry);
        if (m_queue.length > 0 && wait && m_now + *wait > entry.deadline) {
            return;
        }
        if (enqueue(m_queue, entry)) {
            recordFirstAttempt(m_budget);
            serve();
        }
    }

    void serve()
    {
        removeExpired(m_queue, m_now);
        while (m_queue.length > 0) {
            const auto anyReplica = choose(0, *nextPriority(m_queue));
            if (!anyReplica) {
                return;
            }
            const auto next = dequeue(m_queue, m_now);
            m_result.accepted += 1;
            send(next->ticket, choose(m_requests[next->ticket].prefix, next->priority).value_or(*anyReplica));
        }
    }

    std::optional<std::size_t> choose(std::uint64_t prefix, int priority)
    {
        const auto reserved = reservedShare(m_queue, priority);
        const auto loadAt = [&](std::size_t index) {
            const auto &replica = m_replicas[index];
            replica_load load;
            load.reported = replica.reported;
            load.sentSince = replica.sentSince;
            load.inFlight = replica.inFlight;
            load.limit = std::max(1, static_cast<int>(std::ceil(replica.limit.value * (1 - reserved))));
            load.firstTokenMilliseconds = replica.firstToken;
            return load;
        };
        return chooseReplica({m_places, loadAt}, prefix, {}, m_random);
    }

    // The model replicas.

    void send(std::uint64_t id, std::size_t index)
    {
        auto &replica = m_replicas[index];
        m_result.dispatched += 1;
        ++replica.inFlight;
        ++replica.sentSince;
        replica.queue.push_back({id, m_now});
        startQueued(index);
    }

    void startQueued(std::size_t index)
    {
        auto &replica = m_replicas[index];
        while (replica.running < m_options.slots && !replica.queue.empty()) {
            // Engines honour priorities: the oldest queued request of the highest priority starts first.
            const auto before
                = [this](const waiting_request &left, const waiting_request &right) { return priorityOf(left) > priorityOf(right); };
            const auto first = std::min_element(replica.queue.begin(), replica.queue.end(), before);
            const auto waiting = *first;
            replica.queue.erase(first);
            ++replica.running;
            const auto factor = static_cast<int>(index) == m_options.slowReplica ? slowReplicaFactor : 1;
            const auto prefill = lookUpPrefix(replica, m_requests[waiting.request].prefix) ? m_options.prefillHit : m_options.prefillMiss;
            schedule(prefill * factor, [this, waiting, index] { firstToken(waiting, index); });
            schedule((prefill + m_options.tokenGap * m_options.tokens) * factor, [this, index] { finish(index); });
        }
    }

    int priorityOf(const waiting_request &waiting) const
    {
        return m_options.loads[m_requests[waiting.request].load].priority;
    }

    bool lookUpPrefix(model_replica &replica, std::uint64_t prefix)
    {
        const auto found = std::find(replica.cache.begin(), replica.cache.end(), prefix);
        const bool isHit = found != replica.cache.end();
        if (isHit) {
            replica.cache.erase(found);
            m_result.hits += 1;
        }
        replica.cache.push_front(prefix);
        if (replica.cache.size() > m_options.cachedPrefixes) {
            replica.cache.pop_back();
        }
        return isHit;
    }

    void firstToken(const waiting_request &waiting, std::size_t index)
    {
        auto &replica = m_replicas[index];
        auto &request = m_requests[waiting.request];
        const auto timeAtReplica = m_now - waiting.sent;
        constexpr double newestWeight = 0.2;
        replica.firstToken = replica.firstToken == 0
            ? static_cast<double>(timeAtReplica.count())
            : newestWeight * static_cast<double>(timeAtReplica.count()) + (1 - newestWeight) * replica.firstToken;
        recordFirstToken(replica.limit, timeAtReplica, replica.inFlight, m_now);
        if (request.isDone) {
            return;
        }
        const auto total = m_now - request.arrived;
        auto &load = m_result.loads[request.load];
        request.isDone = total <= m_options.deadline * (m_options.isNaive ? request.attempts : 1);
        if (request.isDone && total <= m_options.deadline) {
            load.good += 1;
            load.tokens += m_options.tokens;
        }
        if (request.isDone) {
            load.firstTokenMilliseconds.push_back(static_cast<double>(total.count()));
        }
    }

    void finish(std::size_t index)
    {
        auto &replica = m_replicas[index];
        --replica.running;
        --replica.inFlight;
        startQueued(index);
        if (!m_options.isNaive) {
            serve();
        }
    }

    const model_options &m_options;
    std::mt19937_64 m_random;
    std::vector<model_replica> m_replicas;
    std::vector<model_request> m_requests;
    std::vector<std::uint64_t> m_places;
    std::vector<double> m_prefixShares;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> m_events;
    fair_queue m_queue;
    retry_budget m_budget;
    std::uint64_t m_order = 0;
    instant m_now;
    model_result m_result;
};

} // namespace

double model_result::good() const
{
    double sum = 0;
    for (const auto &load : loads) {
        sum += load.good;
    }
    return sum;
}

double model_result::firstTokenP95(int load) const
{
    std::vector<double> times;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (load < 0 || static_cast<std::size_t>(load) == i) {
            times.insert(times.end(), loads[i].firstTokenMilliseconds.begin(), loads[i].firstTokenMilliseconds.end());
        }
    }
    if (times.empty()) {
        return 0;
    }
    constexpr double percentile = 0.95;
    const auto position = static_cast<std::ptrdiff_t>(percentile * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + position, times.end());
    return times[static_cast<std::size_t>(position)];
}

double capacityOf(const model_options &options)
{
    // A request occupies a slot from its prefill to its last token. Half of the prefills are assumed to hit the prefix cache.
    const auto prefill = (options.prefillMiss + options.prefillHit) / 2;
    const auto seconds = static_cast<double>((prefill + options.tokenGap * options.tokens).count()) / 1000;
    return options.replicas * options.slots / seconds;
}

model_result runRequests(const model_options &options)
{
    return request_simulation(options).run();
}

} // namespace vetchpost::bench
