// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/metrics.h"
#include "Libraries/Base/rcu_snapshot.h"
#include "Libraries/Daemon/replica_rests.h"
#include "Libraries/Daemon/routing_snapshot.h"
#include "Libraries/Requests/fair_queue.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost {

struct admission_request
{
    deployment_id deployment;
    organisation_id organisation;
    int priority = 0;
    double weight = 1;
    /// Expected tokens.
    double cost = 1;
    /// The hash of the prompt's shared part; 0 for none.
    std::uint64_t prefix = 0;
    instant deadline;
    /// Replicas that were tried for this request already.
    std::set<group_id> tried;
};

/// What a queue looks like to an operator.
struct queue_status
{
    deployment_id deployment;
    std::size_t waiting = 0;
    double drainRate = 0;
};

/// Gives each request a replica, at once or after waiting its turn.
class admission
{
public:
    admission(const rcu_snapshot<routing_snapshot> &routing, const replica_rests &rests, metrics &counters);
    ~admission();
    admission(const admission &) = delete;
    admission &operator=(const admission &) = delete;

    /// Waits for a replica. Errors: unknown_model, no_serving_group, overloaded, queue_deadline; each says that the request
    /// did not run. The replica's place is held until release().
    std::optional<replica_route> acquire(const admission_request &request, reason &lastReason);
    /// Gives the place back.
    void release(const deployment_id &deployment, const replica_route &route);
    /// Looks whether waiting requests can go on, after the routes have changed or time has passed.
    void wake();
    /// How long until the first of the model's replicas has rested; nothing where one does not rest.
    std::optional<duration> opensAfter(const deployment_id &deployment) const;
    /// Whether the deployment's retry budget has room; takes one retry out of it.
    bool takeRetryFor(const deployment_id &deployment);
    std::vector<queue_status> queues() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Takes in how long the first token took.
void recordFirstToken(const replica_route &route, duration firstToken);
/// Takes in that the replica failed or refused: it gets no new work for a moment.
void noteTrouble(const replica_route &route, duration avoidFor);

} // namespace vetchpost
