// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/dispatcher_naming.h"

#include "Libraries/Feed/feed_relays.h"

#include <map>

namespace vetchpost {

namespace {

/// How often the source chooses. A lost dispatcher is found by the askers themselves before that.
constexpr duration choicePeriod(250);
/// A daemon is present while one of its last three subscriptions arrived.
constexpr int subscriptionsPerWindow = 3;

} // namespace

dispatcher_naming::dispatcher_naming(const entry_settings &settings,
                                     store_follower &store,
                                     dispatcher_directory &directory,
                                     std::function<std::vector<model_demand>()> localDemand)
    : m_settings(settings)
    , m_store(store)
    , m_directory(directory)
    , m_localDemand(std::move(localDemand))
    , m_presenceWindow(subscriptionsPerWindow * feedTiming(configurationAgeLimit(settings)).subscription)
{
}

dispatcher_candidate dispatcher_naming::ownCandidate() const
{
    return {{m_settings.daemon, *m_settings.dispatch}, m_isEnding ? 0 : m_settings.processorShare};
}

/// Returns this daemon and the daemons that follow it.
std::vector<dispatcher_candidate> dispatcher_naming::presentCandidates() const
{
    auto candidates = m_store.dispatcherCandidates(m_presenceWindow);
    candidates.insert(candidates.begin(), ownCandidate());
    return candidates;
}

void dispatcher_naming::addTo(feed_subscription &subscription) const
{
    if (!m_settings.dispatch) {
        return;
    }
    subscription.candidates = reportedCandidates(presentCandidates(), *m_directory.current());
    subscription.dispatchersDigest = m_directory.digest();
}

void dispatcher_naming::apply(const feed_update &update)
{
    // In a loop of daemons that have lost the coordinator an old list would travel forever.
    if (m_settings.dispatch && update.dispatchers && update.origin.hops <= maxHops) {
        m_directory.replace(*update.dispatchers);
        m_store.setDispatchers(*update.dispatchers);
    }
}

void dispatcher_naming::setSource(bool isSource)
{
    const std::lock_guard lock(m_mutex);
    if (isSource && !m_isSource) {
        beginChoice(m_choice, *m_directory.current(), monotonicNow());
    }
    m_isSource = isSource;
}

void dispatcher_naming::chooseIfDue()
{
    const std::lock_guard lock(m_mutex);
    const auto now = monotonicNow();
    if (!m_settings.dispatch || !m_isSource || now < m_nextChoice) {
        return;
    }
    m_nextChoice = now + choicePeriod;
    chooseDispatchers(m_choice, presentCandidates(), totalDemand(), now);
    if (m_directory.replace(m_choice.list)) {
        m_store.setDispatchers(m_choice.list);
    }
}

/// Returns the requests that all daemons hold, for each model of the configuration.
std::vector<model_demand> dispatcher_naming::totalDemand() const
{
    std::map<std::pair<service_id, model_id>, int> held;
    for (const auto &list : {m_store.followersDemand(), m_localDemand()}) {
        for (const auto &demand : list) {
            held[{demand.service, demand.model}] += demand.outstanding;
        }
    }
    std::vector<model_demand> result;
    const auto routes = m_store.routes();
    if (!routes) {
        return result;
    }
    for (const auto &service : routes->configuration().services) {
        if (!service.engine) {
            continue;
        }
        for (const auto &model : service.engine->models) {
            result.push_back({service.id, model.id, held[{service.id, model.id}]});
        }
    }
    return result;
}

void dispatcher_naming::end()
{
    m_isEnding = true;
}

} // namespace vetchpost
