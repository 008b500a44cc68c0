// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/planning.h"
#include "Libraries/Platform/key_value_client.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

/// The decisions of the coordinator of one data centre. docs/design/GROUPS.md.
namespace vetchpost {

struct coordinator_settings
{
    daemon_id self;
    data_centre_id dataCentre;
    duration leaseTime{9000};
    /// How long an order may be on its way as far as the sender can tell.
    duration orderTimeout{2000};
    /// How far two clocks may drift apart over a lease, and how late a thread may wake.
    duration margin{1000};
    /// How long to wait after a failed try to become coordinator, or after a failed call.
    duration retryPause{1000};
    /// An order that was not confirmed is sent again after this time.
    duration orderRetry{3000};
    planning_policy policy;
};

// What may happen to a coordinator.

struct coordinator_tick
{
};

/// The answer to acquire_coordination.
struct acquisition_answer
{
    /// When the call was about to be made.
    instant asked;
    bool isAcquired = false;
    lease_number lease;
};

/// The answer to renew_coordination.
struct renewal_answer
{
    instant asked;
    /// False where the lease has lapsed; nothing where the service did not answer.
    std::optional<bool> isRenewed;
};

/// The answer to read_allotment.
struct allotment_answer
{
    bool isRead = false;
    key_value_entry entry;
};

/// The answer to write_allotment.
struct write_answer
{
    swap_result result;
};

struct order_answer
{
    instance_id instance;
    generation ordered;
    order_outcome outcome = order_outcome::unknown;
};

using coordinator_event = std::variant<coordinator_tick, acquisition_answer, renewal_answer, allotment_answer, write_answer, order_answer>;

// What a coordinator wants done. Of the calls to the key-value service one is under way at a time.

/// Take a lease and create the coordinator's key under it.
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

/// Send an order, after one more look that it may still be sent.
struct send_order
{
    endpoint to;
    engine_order order;
};

using coordinator_action = std::variant<acquire_coordination, renew_coordination, read_allotment, write_allotment, send_order>;

enum class coordinator_phase {
    follower,
    acquiring,
    /// Holds the lease; reads the allotment.
    reading,
    /// Holds the lease; writes the raised epoch.
    taking_over,
    active
};

struct outstanding_order
{
    generation ordered;
    instant sent;
    bool isUnderWay = false;
};

struct coordinator_state
{
    coordinator_settings settings;
    coordinator_phase phase = coordinator_phase::follower;
    lease_number lease;
    /// Until when the lease holds for certain: counted from before the call that took or renewed it.
    instant leaseUntil;
    instant nextTry;
    /// Tries to become coordinator that failed, one after another.
    int failedTries = 0;
    /// A call to the key-value service is under way.
    bool isCalling = false;
    /// The last allotment that is known to be the service's, with its revision.
    allotment accepted;
    key_revision acceptedRevision;
    /// What was written last, while the outcome is not known.
    std::optional<allotment> pending;
    /// The allotment must be read before anything else is decided: the outcome of a write is not known.
    bool mustRead = false;
    /// A write whose outcome is not known may still take effect: until the allotment's revision is seen to rise.
    bool isInDoubt = false;
    std::map<instance_id, outstanding_order> orders;
    std::map<instance_id, instant> notBefore;
    /// When this daemon last became active: from then on it waits for word of the members.
    instant activeSince;
    std::vector<planning_decision> lastDecisions;
};

/// What the coordinator sees beside its events.
struct coordinator_view
{
    const instance_tracker &tracker;
    /// Nothing while no configuration has been read.
    const std::optional<std::vector<deployment_want>> &wants;
    weight_store_state store;
    /// Whether another daemon is known to coordinate; then there is no haste to try.
    bool isAnotherActive = false;
    instant now;
    std::int64_t calendarNow = 0;
};

coordinator_state makeCoordinator(const coordinator_settings &settings);

/// Takes in one event and says what to do next.
std::vector<coordinator_action> step(coordinator_state &state, const coordinator_event &event, const coordinator_view &view);

// Queries.

/// Whether orders may be sent at this moment: asked once more right before each is sent.
bool mayOrder(const coordinator_state &state, instant now);
/// Whether this daemon speaks for its data centre.
bool isActive(const coordinator_state &state, instant now);
/// The key that names the coordinator, alive as long as its lease.
std::string coordinatorKey(const data_centre_id &dataCentre);

} // namespace vetchpost
