// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/cluster_state_data.h"

#include <algorithm>

namespace vetchpost {

cluster_state::cluster_state(const daemon_settings &settings, incarnation run)
    : d(std::make_unique<private_data>())
{
    d->settings = settings;
    d->exchange = makeExchange(settings.daemon, run, liveness_limits());
    d->about = {settings.dataCentre, settings.callers, settings.operators, settings.peers, {}, false, false};
    d->publishAbout();
}

cluster_state::~cluster_state() = default;

void cluster_state::beatNow(instant now)
{
    const std::lock_guard lock(d->mutex);
    advanceHeartbeat(d->exchange, now);
    if (!d->startedAt) {
        d->startedAt = now;
    }
    removeDeadDaemons(d->exchange, now);
}

bool cluster_state::setOwnFact(const std::string &name, const std::string &value)
{
    const std::lock_guard lock(d->mutex);
    return setFact(d->exchange, name, value);
}

bool cluster_state::publishRegister(const shared_register &value)
{
    const std::lock_guard lock(d->mutex);
    if (!setRegister(d->exchange, value)) {
        return false;
    }
    d->takeRegister(value.name, monotonicNow());
    return true;
}

void cluster_state::takeDigest(const exchange_digest &digest, instant now)
{
    const std::lock_guard lock(d->mutex);
    applyDigest(d->exchange, digest, now);
}

bool cluster_state::takeDelta(const exchange_delta &delta, instant now)
{
    const std::lock_guard lock(d->mutex);
    const auto changes = applyDelta(d->exchange, delta, now);
    for (const auto &name : changes.registers) {
        d->takeRegister(name, now);
    }
    d->isDirty = d->isDirty || changes.haveFactsChanged;
    return !changes.registers.empty();
}

bool cluster_state::observe(const instance_observation &observation, instant now)
{
    const std::lock_guard lock(d->mutex);
    const bool hasChanged = applyObservation(d->tracker, observation, now);
    tellObservation(d->exchange, d->toldStates, observation, now);
    d->isDirty = true;
    return hasChanged;
}

void cluster_state::setCoordinator(bool isCoordinator)
{
    const std::lock_guard lock(d->mutex);
    d->about.isCoordinator = isCoordinator;
    d->publishAbout();
}

void cluster_state::setStopping()
{
    const std::lock_guard lock(d->mutex);
    d->about.isStopping = true;
    d->publishAbout();
}

void cluster_state::refreshSnapshot(instant now)
{
    // Members that die change nothing by themselves, so that the words are gone through once a second in any case.
    constexpr duration membershipPeriod(1000);
    routing_snapshot next;
    {
        const std::lock_guard lock(d->mutex);
        if (!d->isDirty && now - d->lastMembershipCheck < membershipPeriod) {
            return;
        }
        d->isDirty = false;
        d->lastMembershipCheck = now;
        d->takeWords(now);
        d->noteStandings(now);
        std::vector<data_centre_summary> remote;
        for (const auto &[dataCentre, summary] : d->summaries) {
            remote.push_back(summary);
        }
        next = d->builder.build({d->head.current, d->wanted, d->allotted, d->tracker, remote, now});
        next.hasHeardOfGroups = d->hasHeardOfGroups();
    }
    d->snapshot.replace(std::move(next));
}

} // namespace vetchpost
