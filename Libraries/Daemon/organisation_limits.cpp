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

void organisation_limits::updateShare(const organisation &organisation, organisation_usage &usage, double tokens, instant now)
{
    usage.requestedTokens += tokens;
    if (now - usage.windowStart < demandPeriod) {
        return;
    }
    usage.demandPerSecond = usage.requestedTokens * millisecondsPerSecond / static_cast<double>((now - usage.windowStart).count());
    usage.requestedTokens = 0;
    usage.windowStart = now;
    Json::Value demand(Json::objectValue);
    for (const auto &[id, entry] : m_usages) {
        demand[id.value()] = Json::UInt64(static_cast<std::uint64_t>(entry.demandPerSecond));
    }
    m_cluster.setOwnFact(exchange_names::demand, toJsonText(demand));
    std::vector<daemon_demand> demands;
    for (const auto reportedDemand : m_cluster.demands(organisation.id, now)) {
        demands.push_back({reportedDemand, 1});
    }
    const auto limit = organisation.tokensPerSecond / static_cast<double>(m_cluster.dataCentreCount());
    usage.bucket.rate = splitLimit(limit, demands, limit_split::by_demand).front();
}

bool organisation_limits::consume(const organisation &organisation, double tokens)
{
    if (organisation.tokensPerSecond <= 0) {
        return true;
    }
    const auto now = monotonicNow();
    const std::lock_guard lock(m_mutex);
    auto &usage = m_usages[organisation.id];
    updateShare(organisation, usage, tokens, now);
    return consumeTokens(usage.bucket, tokens, now.time_since_epoch().count());
}

} // namespace vetchpost
