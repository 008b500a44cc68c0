// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/relay_context.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/attempt_outcome.h"

#include <thread>

namespace vetchpost {

namespace {

constexpr event_log requestLog("request");
/// How often a request checks for a new view. Requests only wait for one shortly after the daemon's start.
constexpr duration viewPollPeriod(5);

/// A counter for each attempt_outcome.
std::vector<counter> countersByOutcome(metrics &counters)
{
    std::vector<counter> result;
    for (std::size_t outcome = 0; outcome < static_cast<std::size_t>(attempt_outcome::count); ++outcome) {
        result.push_back(counters.addCounter("vetchpost_tries_total",
                                             "Tries at one replica, by how they ended.",
                                             {{"end", std::string(attemptOutcomeName(static_cast<attempt_outcome>(outcome)))}}));
    }
    return result;
}

/// A counter for each way in which a hedged stream went on.
std::map<std::string, counter> raceCountersByEnd(metrics &counters, const std::string &name, const std::string &help)
{
    std::map<std::string, counter> result;
    for (const auto *end : {"first", "second", "neither", "unreachable"}) {
        result.emplace(end, counters.addCounter(name, help, {{"end", end}}));
    }
    return result;
}

} // namespace

relay_context::relay_context(const entry_settings &settings,
                             const entry_dialect &entryDialect,
                             const store_follower &store,
                             peer_feed &feed,
                             const entry_view_snapshot &view,
                             crash_guard &crashGuard,
                             shared_constraints &replicaConstraints,
                             dispatch_client &dispatchClient,
                             replica_paths &replicaPaths,
                             daemon_admission &daemonAdmission,
                             metrics &allCounters,
                             std::function<void(const instance_id &)> stallReporter)
    : dialect(entryDialect)
    , crashes(crashGuard)
    , constraints(replicaConstraints)
    , dispatch(dispatchClient)
    , paths(replicaPaths)
    , admission(daemonAdmission)
    , counters(allCounters)
    , reportStall(std::move(stallReporter))
    , retries(
          settings, [&feed] { return feed.daemonCount(); }, allCounters)
    , requestMetrics(allCounters)
    , attemptCounters(countersByOutcome(allCounters))
    , hedgeCounters(raceCountersByEnd(
          allCounters, "vetchpost_hedges_total", "Silent streams for which a second group was asked, by the group that went on."))
    , silenceCounters(raceCountersByEnd(allCounters,
                                        "vetchpost_silent_attempts_total",
                                        "Requests that were also sent to a second replica since the first one was silent, by the one that "
                                        "went on."))
    , served(allCounters.addCounter("vetchpost_requests_served_total", "Requests whose whole answer was passed on."))
    , resumed(allCounters.addCounter("vetchpost_streams_resumed_total", "Streams that another replica went on with."))
    , retried(allCounters.addCounter("vetchpost_requests_retried_total", "Requests that were sent to a second replica."))
    , invalidTokenCounts(allCounters.addCounter("vetchpost_token_counts_invalid_total",
                                                "Requests whose stated numbers of tokens are no numbers or out of range."))
    , invalidPromptParts(allCounters.addCounter("vetchpost_prompt_parts_invalid_total",
                                                "Requests whose stated parts of the prompt cannot be read, or name one twice."))
    , m_settings(settings)
    , m_store(store)
    , m_feed(feed)
    , m_view(view)
{
}

std::shared_ptr<const entry_view> relay_context::currentView() const
{
    return m_view.read([](const std::shared_ptr<const entry_view> &view) { return view; });
}

bool relay_context::areKeysCurrent(const route_table &routes, instant now) const
{
    return areKeysUsable(keyBound(), routes.confirmedAt(), now);
}

bool relay_context::mayBeOutdated(const route_table &routes, instant now) const
{
    const auto confirmedAt = routes.confirmedAt();
    return !confirmedAt || now - *confirmedAt > m_settings.configurationApply;
}

key_revocation_policy relay_context::keyBound() const
{
    return {m_settings.keyRevocation, m_settings.isKeyRevocationStrict};
}

bool relay_context::shouldCloseConnections(instant now) const
{
    return vetchpost::mustSendElsewhere(keyBound(), m_store.configurationKnowledge(), now);
}

bool relay_context::awaitView(instant until, const std::function<bool(const entry_view &)> &isEnough) const
{
    const auto isSatisfied = [&] {
        const auto view = currentView();
        return view && isEnough(*view);
    };
    while (!isSatisfied()) {
        if (!m_store.isServiceAnswering() || monotonicNow() >= until) {
            return false;
        }
        std::this_thread::sleep_for(viewPollPeriod);
    }
    return true;
}

refusal_scope relay_context::scopeWithoutListing() const
{
    return m_store.isServiceAnswering() ? refusal_scope::starting : refusal_scope::all_daemons;
}

refusal_scope relay_context::scopeOfStaleConfiguration(instant now) const
{
    const auto known = m_store.configurationKnowledge();
    if (known.isUnconfirmable && known.currentAt) {
        return refusal_scope::all_daemons;
    }
    return vetchpost::scopeOfStaleConfiguration(
        known.currentAt.has_value(), m_store.isServiceAnswering(), isConfigurationStale(known, now));
}

void relay_context::applyNotice(const backend &target, const replica_notice &notice, const request_id &request)
{
    if (constraints.applyNotice({target.replica, target.incarnation}, notice, request)) {
        m_feed.syncTables();
    }
}

bool relay_context::requestAnyPermit(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw)
{
    const auto permitRequest = constraints.nextPermitRequest(candidates, tried, draw);
    return !permitRequest || m_feed.requestPermit(*permitRequest);
}

void relay_context::applyStallWarning(const instance_id &head) const
{
    const auto view = currentView();
    if (!view) {
        return;
    }
    const auto now = monotonicNow();
    for (const auto &[model, backends] : view->groups) {
        for (const auto &backend : backends) {
            if (backend.replica == head) {
                backend.load->stallWarnedAt = now.time_since_epoch().count();
                avoid(*backend.load, now);
            }
        }
    }
}

duration relay_context::priorWait(const std::string &route, duration patience, instant now)
{
    const std::lock_guard lock(m_patienceMutex);
    auto &known = m_patience[route];
    recordPatience(known, patience, now);
    return vetchpost::priorWait(known, patience);
}

void relay_context::logCollected()
{
    const auto lists = requestIds.drain();
    if (!lists.isEmpty()) {
        requestLog.writeEssential("roll", {{"arrived", lists.arrived}, {"served", lists.served}, {"left_out", lists.leftOut}});
    }
    retries.logUse();
}

const counter &relay_context::raceCounter(race_cause cause, const std::string &end) const
{
    return cause == race_cause::losses ? hedgeCounters.at(end) : silenceCounters.at(end);
}

} // namespace vetchpost
