// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/metrics.h"
#include "Libraries/Base/rcu_snapshot.h"
#include "Libraries/Daemon/replica_backoffs.h"
#include "Libraries/Daemon/routing_snapshot.h"
#include "Libraries/Requests/fair_queue.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost {

/// A request that needs a replica.
struct admission_request
{
    deployment_id deployment;
    organisation_id organisation;
    int priority = 0;
    double weight = 1;
    /// Expected number of tokens.
    double cost = 1;
    /// Hash of the prompt prefix that prompts can share, for routing by cached prefix; 0 if there is none.
    std::uint64_t prefix = 0;
    instant deadline;
    /// Replicas on which this request was attempted already.
    std::set<group_id> tried;
};

/// State of one deployment's queue, as operators see it.
struct queue_status
{
    deployment_id deployment;
    std::size_t waiting = 0;
    double drainRate = 0;
};

/// Admission control: assigns a replica to each request, at once or after it has waited in its deployment's fair queue.
class admission
{
public:
    admission(const rcu_snapshot<routing_snapshot> &routing, const replica_backoffs &backoffs, metrics &counters);
    ~admission();
    admission(const admission &) = delete;
    admission &operator=(const admission &) = delete;

    /// Waits until a replica has a free slot, and occupies the slot until release(). Returns nothing on failure, with lastReason set to
    /// unknown_model, no_serving_group, overloaded or queue_deadline; each of these kinds states that the request did not run.
    std::optional<replica_route> acquire(const admission_request &request, reason &lastReason);
    /// Frees the slot that acquire() occupied, and lets waiting requests use it.
    void release(const deployment_id &deployment, const replica_route &route);
    /// Assigns replicas to waiting requests where possible. Call it after routes have changed, and from time to time.
    void wake();
    /// Returns the time until the first of the model's replicas ends its backoff, or nothing if some replica is not in backoff.
    std::optional<duration> timeUntilAvailable(const deployment_id &deployment) const;
    /// Spends one retry of the deployment's retry budget. Returns false if the budget is exhausted.
    bool spendRetryFor(const deployment_id &deployment);
    /// Returns the state of the queue of each deployment that has had requests.
    std::vector<queue_status> queues() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Records the time to the first token of one stream from a replica.
void recordFirstToken(const replica_route &route, duration firstToken);
/// Records that a replica failed or refused an attempt: it gets no new requests for avoidFor, and its limit is lowered.
void recordFailure(const replica_route &route, duration avoidFor);

} // namespace vetchpost
