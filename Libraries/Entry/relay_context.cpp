// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/relay_context.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// How many daemons share the budget of repeats where the coordinator has not said it yet: more than there are anywhere today but for the
/// largest deployment, which is told within a second.
constexpr int assumedDaemons = 100;
/// Of the share of repeats a part is left for the differences between the daemons' windows.
constexpr double usedRetryShare = 0.8;
constexpr double leastRepeats = 1;

/// Keys are refused a little before the bound, for the differences between two machines' clocks.
constexpr duration keyMargin(200);

} // namespace

double repeatsAtOnce(int slack, std::optional<int> daemons)
{
    return std::max(leastRepeats, slack * usedRetryShare / std::max(1, daemons.value_or(assumedDaemons)));
}

relay_context::relay_context(const entry_settings &settings,
                             const entry_dialect &words,
                             const store_follower &store,
                             const peer_feed &feed,
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
    , m_feed(feed)
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

void relay_context::doubt(const instance_id &head) const
{
    const auto view = currentView();
    if (!view) {
        return;
    }
    const auto now = monotonicNow();
    for (const auto &[model, backends] : view->groups) {
        for (const auto &backend : backends) {
            if (backend.replica == head) {
                backend.load->doubtedAt = now.time_since_epoch().count();
                avoid(*backend.load, now);
            }
        }
    }
}

retry_budget &relay_context::budgetOf(const service_id &service)
{
    const auto [found, isNew] = m_budgets.try_emplace(service);
    auto &budget = found->second;
    budget.share = m_settings.retryShare * usedRetryShare;
    budget.most = repeatsAtOnce(m_settings.retrySlack, m_feed.daemons());
    budget.available = isNew ? budget.most : std::min(budget.available, budget.most);
    return budget;
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
