// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/organisation_limits.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

constexpr duration demandPeriod(2000);
constexpr double millisecondsPerSecond = 1000;

} // namespace

organisation_limits::organisation_limits(cluster_state &cluster)
    : m_cluster(cluster)
{
}

void organisation_limits::noteDemand(const organisation &organisation, organisation_use &use, double tokens, instant now)
{
    use.asked += tokens;
    if (now - use.since < demandPeriod) {
        return;
    }
    use.askedPerSecond = use.asked * millisecondsPerSecond / static_cast<double>((now - use.since).count());
    use.asked = 0;
    use.since = now;
    Json::Value demand(Json::objectValue);
    for (const auto &[id, entry] : m_uses) {
        demand[id.value()] = Json::UInt64(static_cast<std::uint64_t>(entry.askedPerSecond));
    }
    m_cluster.setOwnFact(exchange_names::demand, toJsonText(demand));
    std::vector<daemon_demand> demands;
    for (const auto asked : m_cluster.demands(organisation.id, now)) {
        demands.push_back({asked, 1});
    }
    const auto limit = organisation.tokensPerSecond / static_cast<double>(m_cluster.dataCentreCount());
    use.bucket.rate = splitLimit(limit, demands, limit_split::by_demand).front();
}

bool organisation_limits::take(const organisation &organisation, double tokens)
{
    if (organisation.tokensPerSecond <= 0) {
        return true;
    }
    const auto now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    auto &use = m_uses[organisation.id];
    noteDemand(organisation, use, tokens, now);
    return consumeTokens(use.bucket, tokens, now.time_since_epoch().count());
}

} // namespace vetchpost
