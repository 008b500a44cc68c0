// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/rcu_snapshot.h"
#include "Libraries/Entry/answer_memory.h"
#include "Libraries/Entry/attempt_outcome.h"
#include "Libraries/Entry/crash_guard.h"
#include "Libraries/Entry/daemon_admission.h"
#include "Libraries/Entry/dispatch_client.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Entry/in_flight_requests.h"
#include "Libraries/Entry/model_habits.h"
#include "Libraries/Entry/model_shedding.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/replica_paths.h"
#include "Libraries/Entry/request_id_batch.h"
#include "Libraries/Entry/request_outcome.h"
#include "Libraries/Entry/requests_by_place.h"
#include "Libraries/Entry/service_retries.h"
#include "Libraries/Entry/shared_constraints.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Requests/client_patience.h"
#include "Libraries/Requests/retry_after.h"
#include "Libraries/Settings/entry_settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace vetchpost {

/// Plain answers are received completely before they are sent. All of them together use at most this much memory beside
/// freeAnswerMemory each, in bytes, and a single one is not larger.
constexpr std::size_t maximumAnswersSize = 16U << 20U;

using entry_view_snapshot = rcu_snapshot<std::shared_ptr<const entry_view>>;

/// The state that all requests of a daemon share.
class relay_context
{
public:
    relay_context(const entry_settings &settings,
                  const entry_dialect &dialect,
                  const store_follower &store,
                  peer_feed &feed,
                  const entry_view_snapshot &view,
                  crash_guard &crashes,
                  shared_constraints &constraints,
                  dispatch_client &dispatch,
                  replica_paths &paths,
                  daemon_admission &admission,
                  metrics &counters,
                  std::function<void(const instance_id &)> reportStall);

    /// The newest view; nullptr before the first one exists.
    std::shared_ptr<const entry_view> currentView() const;
    /// Whether the API keys of a configuration are recent enough to be trusted.
    bool areKeysCurrent(const route_table &routes, instant now) const;
    /// Whether a newer configuration may be in force at other daemons, so that a key or a route that this one lacks may exist.
    bool mayBeOutdated(const route_table &routes, instant now) const;

    /// Whether connections should be closed after the current answer, so that clients reach another daemon.
    bool shouldCloseConnections(instant now) const;
    /// Applies the limits that a replica's answer announces, and sends them to other daemons where these need them.
    void applyNotice(const backend &target, const replica_notice &notice, const request_id &request);
    /// Requests a permit for one of the replicas with a rate limit. Returns false if a permit is due but no daemon is known that issues
    /// them.
    bool requestAnyPermit(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw);

    /// Waits until the view satisfies \a isEnough, at most until \a until and only while the key-value service seems to answer. Returns
    /// whether the view satisfies it.
    bool awaitView(instant until, const std::function<bool(const entry_view &)> &isEnough) const;
    /// Which daemons are likely to lack the list of replicas as well.
    refusal_scope scopeWithoutListing() const;
    /// Which daemons are likely to lack a configuration that is known to be current as well.
    refusal_scope scopeOfStaleConfiguration(instant now) const;

    /// Applies the coordinator's warning that the group with this head has probably stalled: the group is avoided for a while, and requests
    /// that wait there may be retried elsewhere.
    void applyStallWarning(const instance_id &head) const;

    /// The sequence number of the next choice among replicas, which chooseBackend() takes as its turn.
    std::uint64_t nextSequenceNumber()
    {
        return ++m_sequenceNumber;
    }

    /// Whether dispatchers place the requests for models in groups.
    bool isDispatchOn() const
    {
        return m_settings.dispatch.has_value();
    }

    /// The counter of requests that were sent to a second replica while the first one held them, and that the first one, the second one or
    /// neither went on with, or whose second replica could not be reached.
    const counter &raceCounter(race_cause cause, const std::string &end) const;

    /// An estimate of how long a client has already waited in earlier attempts, from the waiting time \a patience that this request has
    /// left and that of other requests on the same route.
    duration priorWait(const std::string &route, duration patience, instant now);

    /// Logs the collected ids of requests without log lines of their own, and the use of the retries.
    void logCollected();

    const entry_dialect &dialect;
    crash_guard &crashes;
    shared_constraints &constraints;
    dispatch_client &dispatch;
    replica_paths &paths;
    daemon_admission &admission;
    metrics &counters;
    /// Reports that the group with this head seems to have stalled.
    const std::function<void(const instance_id &)> reportStall;
    /// The daemon is stopping: connections are closed after their current answer.
    std::atomic<bool> isDraining = false;

    /// Sets the daemon to stop: all requests must have their answers by \a stopsAt.
    void beginStop(instant stopsAt)
    {
        m_stopsAt = stopsAt;
        isDraining = true;
    }

    /// When the daemon ends all requests; never, unless it is stopping.
    instant stopsAt() const
    {
        return m_stopsAt;
    }

    service_retries retries;
    in_flight_requests inFlight;
    answer_memory answers{maximumAnswersSize};
    requests_by_place requestsByPlace;
    model_shedding shedding;
    model_habits habits;
    /// Requests without log lines of their own.
    request_id_batch requestIds;
    const request_metrics requestMetrics;
    /// Indexed by attempt_outcome.
    const std::vector<counter> attemptCounters;
    const std::map<std::string, counter> hedgeCounters;
    const std::map<std::string, counter> silenceCounters;
    counter served;
    counter resumed;
    counter retried;
    /// Requests whose stated size is not valid.
    counter invalidTokenCounts;
    /// Requests whose stated parts of the prompt could not be read.
    counter invalidPromptParts;

private:
    key_revocation_policy keyBound() const;

    const entry_settings &m_settings;
    const store_follower &m_store;
    peer_feed &m_feed;
    const entry_view_snapshot &m_view;
    std::atomic<instant> m_stopsAt = instant::max();
    std::atomic<std::uint64_t> m_sequenceNumber = 0;
    std::mutex m_patienceMutex;
    /// By the route's name.
    std::map<std::string, client_patience> m_patience;
};

} // namespace vetchpost
