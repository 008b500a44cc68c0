// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/rcu_snapshot.h"
#include "Libraries/Entry/crash_guard.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Entry/held_requests.h"
#include "Libraries/Entry/model_shedding.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/request_outcome.h"
#include "Libraries/Entry/request_roll.h"
#include "Libraries/Entry/shared_constraints.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Requests/client_patience.h"
#include "Libraries/Requests/retry_after.h"
#include "Libraries/Requests/retry_limit.h"
#include "Libraries/Settings/entry_settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace vetchpost {

using entry_view_snapshot = rcu_snapshot<std::shared_ptr<const entry_view>>;

/// What the requests of one daemon share.
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
                  metrics &counters,
                  std::function<void(const instance_id &)> noteStall);

    /// The newest view; nullptr before the first.
    std::shared_ptr<const entry_view> currentView() const;
    /// Whether the keys at hand are new enough to be trusted.
    bool areKeysCurrent(instant now) const;

    /// Whether connections had better end with the answer at hand.
    bool mustSendElsewhere(instant now) const;
    /// Takes in what a replica's answer says of the work that it can take, and tells others of it.
    void noteNotice(const backend &place, const replica_notice &notice, const request_id &request);
    /// Asks for a permit for one of the places that have named a limit; false where nobody can be asked, or has just refused one.
    bool wantPermit(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw);

    /// Waits for a view with enough in it, not beyond \a until, as long as the key-value service seems to answer. Whether it is there.
    bool awaitView(instant until, const std::function<bool(const entry_view &)> &isEnough) const;
    /// Who else has not listed the replicas yet.
    refusal_scope reachWithoutListing() const;
    /// Who else lacks a configuration that is known to be the newest.
    refusal_scope scopeOfStaleConfiguration(instant now) const;

    /// A group is likely to stand still: nothing new goes there for a while, and what waits there goes elsewhere.
    void doubt(const instance_id &head) const;

    /// The number of the next choice among places.
    std::uint64_t nextTurn()
    {
        return ++m_turns;
    }

    void recordFirstAttempt(const service_id &service);
    /// Takes one repeat out of this daemon's part of the budget; false where it is used up.
    bool takeRepeat(const service_id &service);

    /// How long a client of a route has waited before it sent a request that leaves \a patience.
    duration priorWait(const std::string &route, duration patience, instant now);

    /// Logs the ids of the requests that have no lines of their own.
    void callRoll();

    const entry_dialect &dialect;
    crash_guard &crashes;
    shared_constraints &constraints;
    metrics &counters;
    const std::function<void(const instance_id &)> noteStall;
    /// Connections end after the answer at hand.
    std::atomic<bool> isDraining = false;
    held_requests held;
    model_shedding shedding;
    /// Requests that have no lines of their own.
    request_roll roll;
    const request_metrics ends;
    /// By try_end.
    const std::vector<counter> tries;
    counter served;
    counter resumed;
    counter retried;

private:
    key_revocation_policy keyBound() const;
    retry_budget &budgetOf(const service_id &service);

    const entry_settings &m_settings;
    const store_follower &m_store;
    peer_feed &m_feed;
    const entry_view_snapshot &m_view;
    std::atomic<std::uint64_t> m_turns = 0;
    std::mutex m_budgetMutex;
    std::map<service_id, retry_budget> m_budgets;
    std::mutex m_patienceMutex;
    /// By route.
    std::map<std::string, client_patience> m_patience;
};

} // namespace vetchpost
