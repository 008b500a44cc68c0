// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/instance_words.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Daemon/cluster_state.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr auto missingText = "missing";
constexpr duration loadPeriod(5000);
/// A dead observer's word holds for so long, until its successor has looked for itself.
constexpr duration observerGrace(10000);

std::string factName(const instance_id &instance)
{
    return exchange_names::instancePrefix + instance.value();
}

} // namespace

void tellObservation(exchange_state &exchange,
                     std::map<instance_id, told_state> &told,
                     const instance_observation &observation,
                     instant now)
{
    auto &last = told[observation.instance];
    const bool mayWait
        = observation.state && last.state && !needsImmediateReport(*last.state, *observation.state) && now - last.at < loadPeriod;
    if (mayWait) {
        return;
    }
    last = {observation.state, now};
    const auto text = observation.state ? toJsonText(toJson(*observation.state)) : std::string(missingText);
    setFact(exchange, factName(observation.instance), text);
}

const daemon_id &observerOf(const instance_id &instance, const std::vector<daemon_id> &live)
{
    // Rendezvous hashing: a daemon that comes or goes moves only its own share.
    const auto weight = [&](const daemon_id &daemon) { return hashOf(daemon.value(), hashOf(instance.value())); };
    return *std::max_element(
        live.begin(), live.end(), [&](const daemon_id &left, const daemon_id &right) { return weight(left) < weight(right); });
}

std::optional<instance_observation>
wordOn(const exchange_state &exchange, const instance_id &instance, const std::vector<daemon_id> &live, instant now)
{
    const auto name = factName(instance);
    auto word = factOf(exchange, observerOf(instance, live), name);
    for (auto daemon = live.begin(); word.empty() && daemon != live.end(); ++daemon) {
        word = factOf(exchange, *daemon, name);
    }
    for (auto origin = exchange.origins.begin(); word.empty() && origin != exchange.origins.end(); ++origin) {
        const auto &heartbeatAdvancedAt = origin->second.heartbeatAdvancedAt;
        if (heartbeatAdvancedAt && now - *heartbeatAdvancedAt < exchange.limits.deadAfter + observerGrace) {
            word = factOf(exchange, origin->first, name);
        }
    }
    if (word.empty()) {
        return std::nullopt;
    }
    const auto json = word == missingText ? std::nullopt : parseJson(word);
    return instance_observation{instance, json ? engineStateFrom(*json) : std::nullopt};
}

} // namespace vetchpost
