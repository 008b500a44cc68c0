// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/replica_liveness_check.h"
#include "Libraries/Entry/shared_parts.h"
#include "Libraries/Requests/request_identity.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// A request whose connection to a replica was lost.
struct request_loss
{
    /// Empty if the digest key is unknown.
    std::optional<request_identity> request;
    organisation_id organisation;
    backend target;
    service_id service;
    lost_attempt attempt;
};

/// A loss whose replica is being checked. Read and changed by pending_losses only.
struct pending_loss
{
    request_loss loss;
    /// The result of the last check.
    replica_liveness found = replica_liveness::unknown;
    instant nextCheck;
    /// The checks have ended.
    bool isResolved = false;
};

/// Checks the replicas of lost requests on its own thread until each has terminated, has begun a later answer, or a timeout expires.
class pending_losses
{
public:
    /// \a didEnd is called on that thread for each request whose replica has terminated.
    pending_losses(replica_liveness_check &check, std::function<void(const request_loss &)> didEnd);
    ~pending_losses();
    pending_losses(const pending_losses &) = delete;
    pending_losses &operator=(const pending_losses &) = delete;

    void start();
    void stop();
    /// Adds a lost request whose replica was found alive, or in an unknown state; drops the oldest one if too many are pending.
    std::shared_ptr<const pending_loss> add(const request_loss &loss, replica_liveness found);
    /// Waits until the checks of the loss have ended, or until \a until. Returns what was found last.
    replica_liveness await(const pending_loss &pending, instant until);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
