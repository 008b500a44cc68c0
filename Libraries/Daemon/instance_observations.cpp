// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/instance_observations.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Daemon/cluster_state.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr auto missingText = "missing";
constexpr duration loadPublishPeriod(5000);
/// How long the observations of a dead daemon stay usable, so that the next observer has time to probe the instance itself.
constexpr duration observerGrace(10000);

std::string factName(const instance_id &instance)
{
    return exchange_names::instancePrefix + instance.value();
}

} // namespace

void publishObservation(exchange_state &exchange,
                        std::map<instance_id, published_state> &published,
                        const instance_observation &observation,
                        instant now)
{
    auto &last = published[observation.instance];
    const bool mayWait
        = observation.state && last.state && !needsImmediateReport(*last.state, *observation.state) && now - last.at < loadPublishPeriod;
    if (mayWait) {
        return;
    }
    last = {observation.state, now};
    const auto text = observation.state ? toJsonText(toJson(*observation.state)) : std::string(missingText);
    setFact(exchange, factName(observation.instance), text);
}

const daemon_id &observerOf(const instance_id &instance, const std::vector<daemon_id> &live)
{
    // Rendezvous hashing: when a daemon joins or leaves, only its own share of the instances is reassigned.
    const auto weight = [&](const daemon_id &daemon) { return hashOf(daemon.value(), hashOf(instance.value())); };
    return *std::max_element(
        live.begin(), live.end(), [&](const daemon_id &left, const daemon_id &right) { return weight(left) < weight(right); });
}

std::optional<instance_observation>
selectObservation(const exchange_state &exchange, const instance_id &instance, const std::vector<daemon_id> &live, instant now)
{
    const auto name = factName(instance);
    auto fact = factOf(exchange, observerOf(instance, live), name);
    for (auto daemon = live.begin(); fact.empty() && daemon != live.end(); ++daemon) {
        fact = factOf(exchange, *daemon, name);
    }
    for (auto origin = exchange.origins.begin(); fact.empty() && origin != exchange.origins.end(); ++origin) {
        const auto &heartbeatAdvancedAt = origin->second.heartbeatAdvancedAt;
        if (heartbeatAdvancedAt && now - *heartbeatAdvancedAt < exchange.limits.deadAfter + observerGrace) {
            fact = factOf(exchange, origin->first, name);
        }
    }
    if (fact.empty()) {
        return std::nullopt;
    }
    const auto json = fact == missingText ? std::nullopt : parseJson(fact);
    return instance_observation{instance, json ? engineStateFrom(*json) : std::nullopt};
}

} // namespace vetchpost
