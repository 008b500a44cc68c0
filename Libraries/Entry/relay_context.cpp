// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/relay_context.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// How many daemons share the budget of repeats at least: each takes its part without asking the others.
constexpr int assumedDaemons = 16;
/// Of the share of repeats a part is left for the differences between the daemons' windows.
constexpr double usedRetryShare = 0.8;
constexpr double leastRepeats = 2;
/// Keys are refused a little before the bound, for the differences between two machines' clocks.
constexpr duration keyMargin(200);

} // namespace

relay_context::relay_context(const entry_settings &settings,
                             const entry_dialect &words,
                             const store_follower &store,
                             const entry_view_snapshot &view,
                             metrics &allCounters,
                             std::function<void(const instance_id &)> tellStall)
    : dialect(words)
    , counters(allCounters)
    , noteStall(std::move(tellStall))
    , served(allCounters.addCounter("vetchpost_requests_served_total", "Requests whose whole answer was passed on."))
    , resumed(allCounters.addCounter("vetchpost_streams_resumed_total", "Streams that another replica went on with."))
    , retried(allCounters.addCounter("vetchpost_requests_retried_total", "Requests that were sent to a second replica."))
    , m_settings(settings)
    , m_store(store)
    , m_view(view)
{
}

std::shared_ptr<const entry_view> relay_context::currentView() const
{
    return m_view.read([](const std::shared_ptr<const entry_view> &view) { return view; });
}

bool relay_context::areKeysCurrent(instant now) const
{
    const auto currentAt = m_store.configurationCurrentAt();
    return currentAt && now - *currentAt < m_settings.keyRevocation - keyMargin;
}

retry_budget &relay_context::budgetOf(const service_id &service)
{
    const auto [found, isNew] = m_budgets.try_emplace(service);
    if (isNew) {
        found->second.share = m_settings.retryShare * usedRetryShare;
        found->second.most = std::max(leastRepeats, static_cast<double>(m_settings.retrySlack) / assumedDaemons);
        found->second.available = found->second.most;
    }
    return found->second;
}

void relay_context::noteFirstTry(const service_id &service)
{
    const std::lock_guard lock(m_budgetMutex);
    vetchpost::noteFirstTry(budgetOf(service));
}

bool relay_context::takeRepeat(const service_id &service)
{
    const std::lock_guard lock(m_budgetMutex);
    return takeRetry(budgetOf(service));
}

} // namespace vetchpost
