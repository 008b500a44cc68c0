// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/observer.h"

#include "Libraries/Engines/engine_client.h"

#include <map>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

/// One silent answer may be a hiccup; a refused connection is none.
constexpr int timeoutsUntilMissing = 2;

} // namespace

struct observer::private_data
{
    const daemon_settings &settings;
    cluster_state &cluster;
    worker_pool &workers;
    std::function<void()> didSeeChange;
    http_connection_pool connections;
    counter observations;
    counter failures;
    std::mutex mutex;
    std::set<instance_id> underWay;
    std::map<instance_id, int> timeouts;

    bool begin(const instance_id &instance)
    {
        const std::lock_guard lock(mutex);
        return underWay.insert(instance).second;
    }

    /// Whether this failure shows that the instance is missing.
    bool noteResult(const instance_id &instance, bool hasAnswered, error_kind kind)
    {
        const std::lock_guard lock(mutex);
        underWay.erase(instance);
        if (hasAnswered) {
            timeouts.erase(instance);
            return false;
        }
        return ++timeouts[instance] >= timeoutsUntilMissing || kind == error_kind::backend_unreachable;
    }

    void look(const listed_instance &instance)
    {
        reason why;
        auto state = fetchEngineState(connections, instance.address, settings.observationPeriod, why);
        if (state && state->instance != instance.id) {
            // Another process took over the address; nothing it says is about this instance.
            why = {error_kind::backend_mismatch, "another instance answers at this address"};
            state.reset();
        }
        observations.increment();
        const bool isMissing = noteResult(instance.id, state.has_value(), why.kind);
        if (!state) {
            failures.increment();
            if (!isMissing) {
                return;
            }
        }
        if (cluster.observe({instance.id, state}, monotonicNow())) {
            didSeeChange();
        }
    }
};

observer::observer(
    const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers, std::function<void()> didSeeChange)
    : d(new private_data{settings,
                         cluster,
                         workers,
                         std::move(didSeeChange),
                         {},
                         counters.addCounter("vetchpost_observations_total", "States asked of instances."),
                         counters.addCounter("vetchpost_observation_failures_total", "States that were not answered."),
                         {},
                         {},
                         {}})
{
}

observer::~observer() = default;

void observer::subscribeTo(timer_service &timers)
{
    timers.subscribe("observer", d->settings.observationPeriod, [this](instant now) {
        for (const auto &instance : d->cluster.observedShare(now)) {
            if (d->begin(instance.id)) {
                d->workers.run([this, instance] { d->look(instance); });
            }
        }
    });
}

} // namespace vetchpost
