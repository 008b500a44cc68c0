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

/// Checks the replicas of lost requests on its own thread, until each is known to have ended or to be alive, or a timeout expires.
class pending_losses
{
public:
    /// \a didEnd is called on that thread for each request whose replica has ended.
    pending_losses(replica_liveness_check &check, std::function<void(const request_loss &)> didEnd);
    ~pending_losses();
    pending_losses(const pending_losses &) = delete;
    pending_losses &operator=(const pending_losses &) = delete;

    void start();
    void stop();
    /// Adds a lost request; drops the oldest one if too many are pending.
    void add(const request_loss &loss);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
