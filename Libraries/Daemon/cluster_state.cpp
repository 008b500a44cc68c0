// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/cluster_state_data.h"

#include <algorithm>

namespace vetchpost {

cluster_state::cluster_state(const daemon_settings &settings, incarnation run)
    : d(std::make_unique<private_data>())
{
    d->settings = settings;
    d->exchange = makeExchange(settings.daemon, run, liveness_limits());
    d->description = {settings.dataCentre, settings.callers, settings.operators, settings.peers, {}, false, false};
    d->publishDescription();
}

cluster_state::~cluster_state() = default;

void cluster_state::advanceOwnHeartbeat(instant now)
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
    d->applyRegister(value.name, monotonicNow());
    return true;
}

void cluster_state::receiveDigest(const exchange_digest &digest, instant now)
{
    const std::lock_guard lock(d->mutex);
    applyDigest(d->exchange, digest, now);
}

bool cluster_state::receiveDelta(const exchange_delta &delta, instant now)
{
    const std::lock_guard lock(d->mutex);
    const auto changes = applyDelta(d->exchange, delta, now);
    for (const auto &name : changes.registers) {
        d->applyRegister(name, now);
    }
    d->isDirty = d->isDirty || changes.haveFactsChanged;
    return !changes.registers.empty();
}

bool cluster_state::recordObservation(const instance_observation &observation, instant now)
{
    const std::lock_guard lock(d->mutex);
    const bool hasChanged = applyObservation(d->tracker, observation, now);
    publishObservation(d->exchange, d->publishedStates, observation, now);
    d->isDirty = true;
    return hasChanged;
}

void cluster_state::setCoordinator(bool isCoordinator)
{
    const std::lock_guard lock(d->mutex);
    d->description.isCoordinator = isCoordinator;
    d->publishDescription();
}

void cluster_state::setStopping()
{
    const std::lock_guard lock(d->mutex);
    d->description.isStopping = true;
    d->publishDescription();
}

void cluster_state::refreshSnapshot(instant now)
{
    // The death of a daemon sets no dirty flag, so the published observations are evaluated at least once a second.
    constexpr duration membershipPeriod(1000);
    routing_snapshot next;
    {
        const std::lock_guard lock(d->mutex);
        if (!d->isDirty && now - d->lastMembershipCheck < membershipPeriod) {
            return;
        }
        d->isDirty = false;
        d->lastMembershipCheck = now;
        d->mergeObservations(now);
        d->recordGroupStates(now);
        std::vector<data_centre_summary> remote;
        for (const auto &[dataCentre, summary] : d->summaries) {
            remote.push_back(summary);
        }
        next = d->builder.build({d->head.current, d->wanted, d->allotted, d->tracker, remote, now});
        next.hasReceivedGroups = d->hasReceivedGroups();
    }
    d->snapshot.replace(std::move(next));
}

} // namespace vetchpost
