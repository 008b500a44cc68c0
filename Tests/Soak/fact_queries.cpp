// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/fact_queries.h"

#include <algorithm>

namespace vetchpost::test {

events_by_attempt eventsByAttempt(const soak_facts &facts, const std::string &what)
{
    events_by_attempt result;
    for (const auto &event : facts.events) {
        if (event.what == what && !event.attempt.isEmpty()) {
            result[event.attempt].push_back(&event);
        }
    }
    return result;
}

std::map<request_id, const attempt_fact *> attemptsById(const soak_facts &facts)
{
    std::map<request_id, const attempt_fact *> result;
    for (const auto &attempt : facts.attempts) {
        result[attempt.id] = &attempt;
    }
    return result;
}

bool overlaps(const disturbance &fault, instant from, instant until)
{
    return fault.from <= until && fault.until >= from;
}

bool mayAffect(const disturbance &fault, int daemon)
{
    return !fault.daemon || *fault.daemon == daemon;
}

namespace {

bool affectsReplicas(const disturbance &fault)
{
    return fault.kind == disturbance_kind::replicas || fault.kind == disturbance_kind::silence;
}

} // namespace

bool areReplicasDisturbed(const soak_facts &facts, instant from, instant until)
{
    return std::any_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        return affectsReplicas(fault) && overlaps(fault, from, until);
    });
}

bool isUndisturbed(const soak_facts &facts, const soak_bounds &bounds, int daemon, instant at)
{
    return std::none_of(facts.disturbances.begin(), facts.disturbances.end(), [&](const disturbance &fault) {
        return !affectsReplicas(fault) && mayAffect(fault, daemon) && overlaps(fault, at - bounds.settlingTime, at);
    });
}

} // namespace vetchpost::test
