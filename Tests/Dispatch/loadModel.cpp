// SPDX-License-Identifier: Apache-2.0
#include "Tests/Dispatch/loadModel.h"

#include "Libraries/Entry/entry_view.h"
#include "Libraries/Requests/load_shedding.h"
#include "Libraries/Requests/retry_after.h"

#include <algorithm>
#include <cmath>
#include <list>

namespace vetchpost::test {

namespace {

constexpr int slots = 20;
constexpr int daemons = 74;
constexpr int dataCentres = 3;
constexpr int organisations = 24;
constexpr duration oneWay(1);
constexpr duration pathDelay(60);
constexpr duration answerTime(20000);
constexpr int mostReturns = 2;
constexpr int mostHastyReturns = 30;
constexpr int mostAttempts = 2;
const model_id model("m");

struct engine_request
{
    std::size_t caller = 0;
    std::uint64_t ticket = 0;
    double unread = 0;
    int written = 0;
};

/// A group that reads one chunk of a prompt between two passes, and writes one token of each read request in a pass.
struct engine_group
{
    double factor = 1;
    double busyUntilMs = 0;
    std::list<engine_request> running = {};
};

class load_run
{
public:
    explicit load_run(const load_options &options)
        : m_options(options)
        , m_engine(loadEngine())
        , m_random(options.seed)
        , m_groups(static_cast<std::size_t>(options.groups))
        , m_views(daemons)
        , m_shedding(daemons)
    {
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            m_groups[i].factor = i % 4 == 0 ? options.slowFactor : 1;
            for (auto &view : m_views) {
                view.push_back({headOf(i), {}, zoneOf(i), group_id(headOf(i).value()), slots, std::make_shared<backend_load>(), {}});
            }
        }
        tellGroups();
    }

    load_result run()
    {
        // Callers that came last are served or give up after the end of the arrivals.
        constexpr duration drainTime(15000);
        for (; m_now < instant(m_options.length + drainTime); m_now += duration(1)) {
            if (m_options.restartAt > duration() && m_now == instant(m_options.restartAt)) {
                m_dispatcher = {};
                tellGroups();
            }
            if (m_now < instant(m_options.length)) {
                arrive();
            }
            const auto due = m_events.upper_bound(m_now);
            const std::vector<std::pair<instant, std::function<void()>>> events(m_events.begin(), due);
            m_events.erase(m_events.begin(), due);
            for (const auto &event : events) {
                event.second();
            }
            for (std::size_t i = 0; i < m_groups.size(); ++i) {
                step(i);
                m_result.utilisation += m_now < instant(m_options.length) ? static_cast<double>(m_groups[i].running.size()) : 0;
            }
            if (m_options.isDispatched) {
                handle(advance(m_dispatcher, m_now));
            }
        }
        m_result.utilisation /= static_cast<double>(m_options.length.count() * slots * m_options.groups);
        return std::move(m_result);
    }

private:
    static instance_id headOf(std::size_t group)
    {
        return instance_id("head-" + std::to_string(group));
    }
    static data_centre_id zoneOf(std::size_t index)
    {
        return data_centre_id("zone-" + std::to_string(index % dataCentres));
    }
    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    int around(double median, double deviation)
    {
        return std::max(1, static_cast<int>(median * std::exp(std::normal_distribution<double>(0, deviation)(m_random))));
    }
    void later(duration after, std::function<void()> event)
    {
        m_events.emplace(m_now + after, std::move(event));
    }
    void tellGroups()
    {
        std::vector<dispatch_group> told;
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            told.push_back({headOf(i), replica_incarnation(1), model, zoneOf(i), slots, 1, {}, {}});
        }
        updateGroups(m_dispatcher, told, m_engine, m_now);
    }

    void arrive()
    {
        constexpr double shortShare = 0.82;
        const bool isBurst = m_now >= instant(m_options.burstFrom) && m_now < instant(m_options.burstUntil);
        const double shortRate = m_options.requestsPerSecond * shortShare * (isBurst ? m_options.burstFactor : 1);
        const double longRate = m_options.requestsPerSecond * (1 - shortShare);
        const auto count = std::poisson_distribution<int>((shortRate + longRate) / 1000)(m_random);
        for (int i = 0; i < count; ++i) {
            caller next;
            next.priority = draw() < shortRate / (shortRate + longRate) ? 0 : 1 + static_cast<int>(2 * draw());
            next.organisation = draw() < m_options.firstShare ? 0 : 1 + static_cast<int>((organisations - 1) * draw());
            next.promptTokens = next.isShort() ? around(400, 0.5) : around(1000, 0.8);
            next.answerTokens = next.isShort() ? around(112, 0.3) : around(200, 0.5);
            next.isHasty = draw() < m_options.hastyShare;
            next.arrived = m_now;
            m_result.callers.push_back(next);
            ask(m_result.callers.size() - 1);
        }
    }

    void ask(std::size_t index)
    {
        auto &from = m_result.callers[index];
        from.asked = m_now;
        from.sent = 0;
        from.tried.clear();
        m_options.isDispatched ? askDispatcher(index) : takeTurn(index);
    }

    void askDispatcher(std::size_t index)
    {
        const auto &from = m_result.callers[index];
        slot_request request;
        request.ticket = ++m_ticket;
        m_tickets[request.ticket] = index;
        request.model = model;
        request.organisation = organisation_id("org-" + std::to_string(from.organisation));
        request.priority = from.priority;
        request.promptTokens = from.promptTokens;
        request.expectedTokens = from.isShort() ? 112 : 200;
        request.untilLate = objectiveOf(from.priority) - (m_now - from.asked) - 3 * oneWay;
        request.timeLeft = answerTime - (m_now - from.asked);
        request.dataCentre = zoneOf(index % daemons);
        request.excluded = from.tried;
        request.hasReturned = !from.refusals.empty();
        handle({requestSlot(m_dispatcher, request, {"asker", 1}, m_now)});
    }

    void handle(const std::vector<slot_answer> &answers)
    {
        for (const auto &answer : answers) {
            const auto index = m_tickets.at(answer.ticket);
            if (answer.verdict == slot_verdict::granted) {
                const auto group = std::stoul(answer.head.value().substr(5));
                later(3 * oneWay, [=, this] { send(index, group, answer.ticket); });
            } else if (answer.verdict == slot_verdict::refused) {
                refuse(index, answer.wait);
            }
        }
    }

    void takeTurn(std::size_t index)
    {
        auto &from = m_result.callers[index];
        const auto daemon = index % daemons;
        if (from.sent == 0 && !isAdmitted(m_shedding[daemon], draw(), m_now)) {
            refuse(index, retryAfterFor(refusal_scope::whole_model, m_random()));
            return;
        }
        const auto *chosen = chooseBackend(m_views[daemon], from.tried, zoneOf(daemon), m_now, ++m_turn, m_random());
        ++chosen->load->outstanding;
        const auto group = static_cast<std::size_t>(chosen - m_views[daemon].data());
        later(oneWay, [=, this] { send(index, group, 0); });
    }

    void send(std::size_t index, std::size_t group, std::uint64_t ticket)
    {
        auto &from = m_result.callers[index];
        ++from.sent;
        if (m_groups[group].running.size() < slots) {
            m_groups[group].running.push_back({index, ticket, static_cast<double>(from.promptTokens)});
            m_views[index % daemons][group].load->rejections = 0;
            return;
        }
        ++m_result.rejections;
        from.tried.push_back(headOf(group));
        end(index, group, ticket, slot_end::rejected);
        if (from.sent >= mostAttempts) {
            refuse(index, retryAfterFor(refusal_scope::full_slots, m_random()));
        } else {
            m_options.isDispatched ? askDispatcher(index) : takeTurn(index);
        }
    }

    void end(std::size_t index, std::size_t group, std::uint64_t ticket, slot_end how)
    {
        if (!m_options.isDispatched) {
            auto &load = *m_views[index % daemons][group].load;
            --load.outstanding;
            if (how == slot_end::rejected) {
                recordRejection(load, m_now);
            }
        } else if (draw() >= m_options.lostReleases) {
            later(oneWay, [=, this] { handle(releaseSlot(m_dispatcher, ticket, {"asker", 1}, how, m_now)); });
        }
    }

    void refuse(std::size_t index, duration told)
    {
        auto &from = m_result.callers[index];
        from.refusals.push_back({m_now, m_now - from.asked, told, from.sent});
        const auto returns = static_cast<int>(from.refusals.size());
        if (from.isHasty ? returns <= mostHastyReturns : returns <= mostReturns) {
            later(from.isHasty ? duration(20) : told, [=, this] { ask(index); });
        }
    }

    void step(std::size_t group)
    {
        auto &engine = m_groups[group];
        const auto nowMs = static_cast<double>(m_now.time_since_epoch().count());
        while (!engine.running.empty() && engine.busyUntilMs <= nowMs) {
            double ms = 0;
            const auto reading
                = std::find_if(engine.running.begin(), engine.running.end(), [](const auto &next) { return next.unread > 0; });
            if (reading != engine.running.end()) {
                const auto tokens = std::min<double>(reading->unread, m_engine.chunkTokens);
                ms += tokens * 1000 / m_engine.readPerSecond;
                reading->unread -= tokens;
            }
            const auto writing
                = std::count_if(engine.running.begin(), engine.running.end(), [](const auto &next) { return next.unread <= 0; });
            ms += m_engine.stepMs + m_engine.perSequenceMs * static_cast<double>(writing);
            engine.busyUntilMs = std::max(engine.busyUntilMs, nowMs - 1) + engine.factor * ms;
            for (auto next = engine.running.begin(); next != engine.running.end();) {
                next = write(group, *next) ? engine.running.erase(next) : std::next(next);
            }
        }
    }

    /// Writes one token of a request. Returns whether its answer is complete.
    bool write(std::size_t group, engine_request &request)
    {
        if (request.unread > 0) {
            return false;
        }
        auto &from = m_result.callers[request.caller];
        if (++request.written == m_engine.stride) {
            from.firstEvent = m_now + oneWay + pathDelay - from.asked;
            recordFirstEvent(m_shedding[request.caller % daemons], from.isLate(), m_now);
            auto &load = *m_views[request.caller % daemons][group].load;
            load.responseTime = static_cast<double>(from.firstEvent.count());
            load.responseTimeAt = m_now.time_since_epoch().count();
        }
        if (request.written < std::max(m_engine.stride, from.answerTokens)) {
            return false;
        }
        end(request.caller, group, request.ticket, slot_end::done);
        return true;
    }

    load_options m_options;
    engine_description m_engine;
    std::mt19937 m_random;
    instant m_now;
    std::vector<engine_group> m_groups;
    std::vector<std::vector<backend>> m_views;
    std::vector<load_shedding> m_shedding;
    slot_dispatcher m_dispatcher;
    std::uint64_t m_ticket = 0;
    std::uint64_t m_turn = 1;
    std::map<std::uint64_t, std::size_t> m_tickets;
    std::multimap<instant, std::function<void()>> m_events;
    load_result m_result;
};

} // namespace

engine_description loadEngine()
{
    engine_description engine;
    engine.slots = slots;
    engine.stepMs = 4;
    engine.perSequenceMs = 0.1;
    engine.readPerSecond = 30000;
    engine.chunkTokens = 512;
    engine.stride = 4;
    engine.usualPromptTokens = 400;
    engine.usualAnswerTokens = 112;
    engine.delays.push_back({{}, {}, pathDelay});
    return engine;
}

duration objectiveOf(int priority)
{
    return priority == 0 ? duration(250) : duration(1000 * priority);
}

bool caller::isInTime() const
{
    return firstEvent >= duration() && firstEvent <= objectiveOf(priority);
}

bool caller::isLate() const
{
    return firstEvent > objectiveOf(priority);
}

load_result runLoad(const load_options &options)
{
    return load_run(options).run();
}

double shareOf(const load_result &result, const std::function<bool(const caller &)> &kind, const std::function<bool(const caller &)> &what)
{
    int all = 0;
    int some = 0;
    for (const auto &next : result.callers) {
        if (kind(next)) {
            ++all;
            some += what(next) ? 1 : 0;
        }
    }
    return all == 0 ? -1 : static_cast<double>(some) / all;
}

} // namespace vetchpost::test
