// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/planning.h"
#include "Libraries/Platform/key_value_client.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

/// State machine of the coordinator of one data centre, without I/O. docs/design/GROUPS.md describes the protocol.
namespace vetchpost {

struct coordinator_settings
{
    daemon_id self;
    data_centre_id dataCentre;
    duration leaseTime{9000};
    /// The longest time that an order may be in transit, as far as the sender can tell.
    duration orderTimeout{2000};
    /// Allowance for clock drift over the term of a lease and for threads that wake late.
    duration margin{1000};
    /// Delay before the next call after a failed call or a failed attempt to become coordinator.
    duration retryPause{1000};
    /// Delay after which an unconfirmed order is sent again.
    duration orderRetryDelay{3000};
    planning_policy policy;
};

// Events that a coordinator handles.

struct coordinator_tick
{
};

/// Result of acquire_coordination.
struct acquisition_answer
{
    /// Time just before the call was made.
    instant calledAt;
    bool isAcquired = false;
    lease_number lease;
};

/// Result of renew_coordination.
struct renewal_answer
{
    /// Time just before the call was made.
    instant calledAt;
    /// False if the lease has expired; nothing if the service did not answer.
    std::optional<bool> isRenewed;
};

/// Result of read_allotment.
struct allotment_answer
{
    bool isRead = false;
    key_value_entry entry;
    /// The allotment that the daemons of the data centre know.
    allotment known = {};
};

/// Result of write_allotment.
struct write_answer
{
    swap_result result;
};

/// Result of send_order.
struct order_answer
{
    instance_id instance;
    generation ordered;
    order_outcome outcome = order_outcome::unknown;
};

using coordinator_event = std::variant<coordinator_tick, acquisition_answer, renewal_answer, allotment_answer, write_answer, order_answer>;

// Actions that a coordinator requests. At most one call to the key-value service is in progress at a time.

/// Acquires a lease and creates the coordinator's key under it.
struct acquire_coordination
{
};

struct renew_coordination
{
    lease_number lease;
};

struct read_allotment
{
};

struct write_allotment
{
    key_revision expected;
    std::string text;
};

/// Sends an order. The caller checks maySendOrders() again right before.
struct send_order
{
    endpoint to;
    engine_order order;
};

using coordinator_action = std::variant<acquire_coordination, renew_coordination, read_allotment, write_allotment, send_order>;

enum class coordinator_phase {
    follower,
    acquiring,
    /// Holds the lease and reads the allotment.
    reading,
    /// Holds the lease and writes the allotment with the next epoch.
    taking_over,
    active
};

struct outstanding_order
{
    generation ordered;
    instant sent;
    bool isInFlight = false;
};

struct coordinator_state
{
    coordinator_settings settings;
    coordinator_phase phase = coordinator_phase::follower;
    lease_number lease;
    /// When the lease may expire at the earliest: its term is counted from just before the call that acquired or renewed it.
    instant leaseUntil;
    /// No call to the key-value service is made before this time.
    instant nextAttempt;
    /// Consecutive failed attempts to become coordinator.
    int failedAttempts = 0;
    /// A call to the key-value service is in progress.
    bool isCalling = false;
    /// The last allotment known to be stored in the key-value service. Its revision is acceptedRevision.
    allotment accepted;
    key_revision acceptedRevision;
    /// The allotment of the write in progress, or of one whose outcome is unknown.
    std::optional<allotment> pending;
    /// The allotment must be read before anything else is decided, since this daemon has just become coordinator or the stored allotment
    /// is no longer known for certain.
    bool mustRead = false;
    /// A write with an unknown outcome may still take effect. Cleared once the allotment's revision is seen to have increased.
    bool isWriteUnconfirmed = false;
    /// The last order to each instance.
    std::map<instance_id, outstanding_order> orders;
    /// Instances that an old order may still reach, and when they may be reused.
    std::map<instance_id, instant> reusableFrom;
    /// When this daemon last became active. It waits from then on for observations of the members.
    instant activeSince;
    std::vector<planning_decision> lastDecisions;
};

/// What the coordinator knows beside its events.
struct coordinator_view
{
    const instance_tracker &tracker;
    /// Nothing until the configuration has been read.
    const std::optional<std::vector<deployment_want>> &wants;
    weight_store_state store;
    /// Another daemon is known to be coordinator, so this one does not try to acquire the lease yet.
    bool isAnotherActive = false;
    instant now;
    std::int64_t calendarNow = 0;
    /// The era that the key-value service names.
    store_era era = {};
};

coordinator_state makeCoordinator(const coordinator_settings &settings);

/// Handles one event and returns the actions to perform.
std::vector<coordinator_action> step(coordinator_state &state, const coordinator_event &event, const coordinator_view &view);

// Queries.

/// Whether orders may be sent now. Checked again right before each order is sent.
bool maySendOrders(const coordinator_state &state, instant now);
/// Whether this daemon is the coordinator of its data centre now.
bool isActive(const coordinator_state &state, instant now);
/// Returns the key that holds the coordinator's daemon id. It expires with the coordinator's lease.
std::string coordinatorKey(const data_centre_id &dataCentre);

} // namespace vetchpost
