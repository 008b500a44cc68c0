// SPDX-License-Identifier: Apache-2.0
#include "Benchmarks/groupTrace.h"

#include "Libraries/Groups/group_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>
#include <random>

namespace vetchpost::bench {

namespace {

constexpr double secondsPerDay = 86400;
constexpr double secondsPerHour = 3600;
constexpr duration loadTime(90000);
constexpr double meanRestartSeconds = 240;
constexpr double meanRepairSeconds = 4 * 3600;
constexpr double rackOutageSeconds = 1800;
constexpr double dataCentreOutageSeconds = 3600;
/// While fewer groups serve than are wanted, the planner runs again after this time, as it does on the daemon's ticks.
constexpr duration replanPeriod(5000);

enum class trace_kind { lost, returned, loaded, replan };

struct trace_event
{
    instant at;
    std::uint64_t sequence = 0;
    trace_kind kind = trace_kind::replan;
    std::size_t instance = 0;
    /// For loaded: the generation for which weights were loaded. For lost and returned: the number of the loss.
    std::uint64_t number = 0;

    bool operator>(const trace_event &other) const
    {
        return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
};

/// Replays one data centre. Data centres are replayed independently of each other.
class data_centre_replay
{
public:
    data_centre_replay(const trace_size &size, const trace_profile &profile, const planner &plan, int replicas, std::uint64_t seed)
        : m_size(size)
        , m_plan(plan)
        , m_random(seed)
    {
        deployment wanted;
        wanted.id = deployment_id("model");
        wanted.model = "large";
        wanted.version = "1";
        wanted.instancesPerReplica = size.instancesPerReplica;
        wanted.enginesCheckFencing = true;
        wanted.downtimeWeight = profile.downtimeWeight;
        wanted.strandedWeight = profile.strandedWeight;
        wanted.loadTime = loadTime;
        wanted.restartTime = duration(static_cast<std::int64_t>(meanRestartSeconds * 1000));
        m_wants.emplace({deployment_want{wanted, replicas}});
        std::vector<listed_instance> list;
        for (int domain = 0; domain < size.domainsPerDataCentre; ++domain) {
            for (int i = 0; i < size.instancesPerDomain; ++i) {
                listed_instance listed;
                listed.id = instance_id(fmt::format("i{:03}-{:03}", domain, i));
                listed.address = {"127.0.0.1", 1};
                listed.fabricDomain = fabric_domain_id(fmt::format("rack{:03}", domain));
                listed.accelerators = size.acceleratorsPerInstance;
                m_ids.push_back(listed.id);
                list.push_back(std::move(listed));
            }
        }
        m_states.resize(m_ids.size());
        m_losses.resize(m_ids.size());
        applyInstanceList(m_tracker, list);
        for (std::size_t i = 0; i < m_ids.size(); ++i) {
            m_states[i].instance = m_ids[i];
            m_states[i].run = incarnation(1);
            applyObservation(m_tracker, {m_ids[i], m_states[i]}, m_now);
        }
    }

    trace_result run(double failuresPerDay, double restartsPerDay, int rackOutages, bool hasDataCentreOutage)
    {
        formInitialGroups();
        scheduleLosses(failuresPerDay, meanRepairSeconds);
        scheduleLosses(restartsPerDay, meanRestartSeconds);
        for (int rack = 0; rack < rackOutages; ++rack) {
            scheduleLoss(randomTime(),
                         static_cast<std::size_t>(randomFraction() * m_size.domainsPerDataCentre)
                             * static_cast<std::size_t>(m_size.instancesPerDomain),
                         static_cast<std::size_t>(m_size.instancesPerDomain),
                         rackOutageSeconds);
        }
        if (hasDataCentreOutage) {
            scheduleLoss(randomTime(), 0, m_ids.size(), dataCentreOutageSeconds);
        }
        const auto end = m_start + duration(static_cast<std::int64_t>(m_size.days * secondsPerDay * 1000));
        while (!m_events.empty() && m_events.top().at < end) {
            const auto event = m_events.top();
            m_events.pop();
            accumulate(event.at);
            handle(event);
        }
        accumulate(end);
        return m_result;
    }

private:
    double randomFraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    instant randomTime()
    {
        return m_start + duration(static_cast<std::int64_t>(randomFraction() * m_size.days * secondsPerDay * 1000));
    }

    void push(instant at, trace_kind kind, std::size_t instance = 0, std::uint64_t number = 0)
    {
        m_events.push({at, ++m_lastSequence, kind, instance, number});
    }

    /// Forms and loads the groups before the measured time begins.
    void formInitialGroups()
    {
        for (int round = 0; round < 2000; ++round) {
            replan();
            if (m_events.empty()) {
                break;
            }
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_start = m_now;
        m_result = {};
    }

    /// Schedules losses of single instances with exponentially distributed durations.
    void scheduleLosses(double perDay, double meanSeconds)
    {
        const auto count = std::poisson_distribution<int>(perDay * m_size.days)(m_random);
        for (int i = 0; i < count; ++i) {
            const auto instance = static_cast<std::size_t>(randomFraction() * static_cast<double>(m_ids.size()));
            const auto lossSeconds = std::exponential_distribution<double>(1 / meanSeconds)(m_random);
            scheduleLoss(randomTime(), instance, 1, lossSeconds);
        }
    }

    /// Schedules the loss of a range of instances and their return.
    void scheduleLoss(instant at, std::size_t first, std::size_t count, double seconds)
    {
        for (std::size_t i = first; i < first + count; ++i) {
            const auto loss = ++m_lastLoss;
            push(at, trace_kind::lost, i, loss);
            push(at + duration(static_cast<std::int64_t>(seconds * 1000)), trace_kind::returned, i, loss);
        }
    }

    void handle(const trace_event &event)
    {
        m_now = event.at;
        auto &state = m_states[event.instance];
        switch (event.kind) {
        case trace_kind::lost:
            m_losses[event.instance] = event.number;
            recordServiceLoss(event.instance);
            applyObservation(m_tracker, {m_ids[event.instance], std::nullopt}, m_now);
            break;
        case trace_kind::returned:
            if (m_losses[event.instance] != event.number) {
                return;
            }
            m_losses[event.instance] = 0;
            state = engine_state();
            state.instance = m_ids[event.instance];
            state.run = incarnation(++m_runs);
            applyObservation(m_tracker, {state.instance, state}, m_now);
            break;
        case trace_kind::loaded:
            --m_activeLoads;
            if (m_losses[event.instance] == 0 && state.confirmed.value() == event.number && state.phase == engine_phase::loading) {
                state.phase = engine_phase::ready;
                applyObservation(m_tracker, {state.instance, state}, m_now);
            }
            startLoads();
            break;
        case trace_kind::replan:
            m_isReplanDue = false;
            break;
        }
        replan();
    }

    void recordServiceLoss(std::size_t instance)
    {
        for (const auto &group : m_allotted.groups) {
            const auto isMember = [&](const allotted_member &member) { return member.instance == m_ids[instance]; };
            if (std::any_of(group.members.begin(), group.members.end(), isMember)
                && groupStateOf(group, m_tracker) == group_state::serving) {
                ++m_result.losses;
                const auto hours = static_cast<double>(loadTime.count()) / 1000 / secondsPerHour;
                m_result.minGroupHours += hours;
                m_result.minAcceleratorHours += hours * m_size.acceleratorsPerInstance * m_size.instancesPerReplica;
            }
        }
    }

    void replan()
    {
        const planning_input input{
            m_allotted, m_tracker, m_wants, {m_size.storeSlots, m_activeLoads}, m_reusableFrom, m_now, m_now.time_since_epoch().count()};
        const auto started = std::chrono::steady_clock::now();
        auto result = m_plan(input);
        m_result.planningSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
        ++m_result.plans;
        if (result.hasChanged) {
            ++m_result.writes;
            m_allotted = std::move(result.next);
        }
        applyAllotment();
        startLoads();
        if (servingGroups() < *m_wants->front().replicas && !m_isReplanDue) {
            m_isReplanDue = true;
            push(m_now + replanPeriod, trace_kind::replan);
        }
    }

    /// Carries out the allotment at once: every reachable member joins its group, and those without its weights queue for a load.
    void applyAllotment()
    {
        for (const auto &group : m_allotted.groups) {
            for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
                const auto instance
                    = static_cast<std::size_t>(std::lower_bound(m_ids.begin(), m_ids.end(), group.members[rank].instance) - m_ids.begin());
                auto &state = m_states[instance];
                if (m_losses[instance] != 0 || (state.group == group.id && state.confirmed == group.current)) {
                    continue;
                }
                const bool hasWeights
                    = state.phase == engine_phase::ready && state.choice == group.choice && state.rank == static_cast<int>(rank);
                state.group = group.id;
                state.confirmed = group.current;
                state.rank = static_cast<int>(rank);
                state.choice = group.choice;
                if (!hasWeights) {
                    state.phase = engine_phase::loading;
                    m_queuedLoads.push_back({instance, group.current.value()});
                }
                applyObservation(m_tracker, {state.instance, state}, m_now);
            }
        }
    }

    void startLoads()
    {
        while (m_activeLoads < m_size.storeSlots && !m_queuedLoads.empty()) {
            const auto [instance, number] = m_queuedLoads.front();
            m_queuedLoads.erase(m_queuedLoads.begin());
            if (m_losses[instance] != 0 || m_states[instance].confirmed.value() != number) {
                continue;
            }
            ++m_activeLoads;
            push(m_now + loadTime, trace_kind::loaded, instance, number);
        }
    }

    int servingGroups() const
    {
        int serving = 0;
        for (const auto &group : m_allotted.groups) {
            serving += groupStateOf(group, m_tracker) == group_state::serving ? 1 : 0;
        }
        return serving;
    }

    /// Adds the time since the last event to the totals.
    void accumulate(instant until)
    {
        const auto hours = static_cast<double>((until - m_now).count()) / 1000 / secondsPerHour;
        if (hours <= 0) {
            return;
        }
        const auto serving = servingGroups();
        const auto missing = std::max(0, *m_wants->front().replicas - serving);
        if (missing > 0) {
            std::map<fabric_domain_id, int> healthy;
            int healthyInstances = 0;
            for (std::size_t i = 0; i < m_ids.size(); ++i) {
                if (m_losses[i] == 0) {
                    ++healthy[findInstance(m_tracker, m_ids[i])->listed.fabricDomain];
                    ++healthyInstances;
                }
            }
            int capacity = 0;
            for (const auto &[domain, count] : healthy) {
                capacity += count / m_size.instancesPerReplica;
            }
            const auto idle = healthyInstances - serving * m_size.instancesPerReplica;
            m_result.downtimeGroupHours += hours * missing;
            m_result.strandedAcceleratorHours
                += hours * std::min(idle, missing * m_size.instancesPerReplica) * m_size.acceleratorsPerInstance;
            m_result.minGroupHours += hours * std::max(0, *m_wants->front().replicas - capacity);
        }
        m_now = until;
    }

    const trace_size &m_size;
    const planner &m_plan;
    std::mt19937_64 m_random;
    std::optional<std::vector<deployment_want>> m_wants;
    std::vector<instance_id> m_ids;
    std::vector<engine_state> m_states;
    std::vector<std::uint64_t> m_losses;
    instance_tracker m_tracker;
    allotment m_allotted;
    std::map<instance_id, instant> m_reusableFrom;
    std::priority_queue<trace_event, std::vector<trace_event>, std::greater<>> m_events;
    std::vector<std::pair<std::size_t, std::uint64_t>> m_queuedLoads;
    int m_activeLoads = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lastLoss = 0;
    std::uint64_t m_runs = 1;
    bool m_isReplanDue = false;
    instant m_now{duration(1000000)};
    instant m_start;
    trace_result m_result;
};

void add(trace_result &total, const trace_result &part)
{
    total.downtimeGroupHours += part.downtimeGroupHours;
    total.strandedAcceleratorHours += part.strandedAcceleratorHours;
    total.minGroupHours += part.minGroupHours;
    total.minAcceleratorHours += part.minAcceleratorHours;
    total.losses += part.losses;
    total.writes += part.writes;
    total.planningSeconds += part.planningSeconds;
    total.plans += part.plans;
}

} // namespace

trace_result replayTrace(const trace_size &size, const trace_profile &profile, const planner &plan, std::uint64_t seed)
{
    trace_result total;
    for (int dataCentre = 0; dataCentre < size.dataCentres; ++dataCentre) {
        const auto replicas = size.replicas / size.dataCentres + (dataCentre < size.replicas % size.dataCentres ? 1 : 0);
        const auto rackOutages = size.rackOutages / size.dataCentres + (dataCentre < size.rackOutages % size.dataCentres ? 1 : 0);
        data_centre_replay replay(size, profile, plan, replicas, seed + static_cast<std::uint64_t>(dataCentre));
        add(total,
            replay.run(size.failuresPerDay / size.dataCentres,
                       size.restartsPerDay / size.dataCentres,
                       rackOutages,
                       dataCentre < size.dataCentreLosses));
    }
    return total;
}

} // namespace vetchpost::bench
