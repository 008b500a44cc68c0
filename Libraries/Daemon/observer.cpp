// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/observer.h"

#include "Libraries/Engines/engine_client.h"

#include <map>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

/// A single timeout may be a transient delay, so it does not make an instance missing. A refused connection does so at once.
constexpr int timeoutsUntilMissing = 2;

} // namespace

struct observer::private_data
{
    const daemon_settings &settings;
    cluster_state &cluster;
    worker_pool &workers;
    std::function<void()> didChange;
    http_connection_pool connections;
    counter observations;
    counter failures;
    std::mutex mutex;
    /// The instances with a probe in flight.
    std::set<instance_id> probesInFlight;
    /// Consecutive failed probes of each instance.
    std::map<instance_id, int> timeouts;

    /// Marks a probe of the instance as in flight. Returns false if there already is one.
    bool tryBeginProbe(const instance_id &instance)
    {
        const std::lock_guard lock(mutex);
        return probesInFlight.insert(instance).second;
    }

    /// Records the end of a probe. Returns true if its failure shows that the instance is missing.
    bool recordResult(const instance_id &instance, bool hasAnswered, error_kind kind)
    {
        const std::lock_guard lock(mutex);
        probesInFlight.erase(instance);
        if (hasAnswered) {
            timeouts.erase(instance);
            return false;
        }
        return ++timeouts[instance] >= timeoutsUntilMissing || kind == error_kind::backend_unreachable;
    }

    /// Probes an instance and records the result.
    void probe(const listed_instance &instance)
    {
        reason why;
        auto state = fetchEngineState(connections, instance.address, settings.observationPeriod, why);
        if (state && state->instance != instance.id) {
            // Another process now listens at this address, so its state does not describe this instance.
            why = {error_kind::backend_mismatch, "another instance answers at this address"};
            state.reset();
        }
        observations.increment();
        const bool isMissing = recordResult(instance.id, state.has_value(), why.kind);
        if (!state) {
            failures.increment();
            if (!isMissing) {
                return;
            }
        }
        if (cluster.recordObservation({instance.id, state}, monotonicNow())) {
            didChange();
        }
    }
};

observer::observer(
    const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers, std::function<void()> didChange)
    : d(new private_data{settings,
                         cluster,
                         workers,
                         std::move(didChange),
                         {},
                         counters.addCounter("vetchpost_observations_total", "Probes of instances."),
                         counters.addCounter("vetchpost_observation_failures_total", "Probes of instances that failed."),
                         {},
                         {},
                         {}})
{
}

observer::~observer() = default;

void observer::subscribeTo(timer_service &timers)
{
    timers.subscribe("observer", d->settings.observationPeriod, [this](instant now) {
        for (const auto &instance : d->cluster.instancesToProbe(now)) {
            if (d->tryBeginProbe(instance.id)) {
                d->workers.run([this, instance] { d->probe(instance); });
            }
        }
    });
}

} // namespace vetchpost
