// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/replica_end_check.h"
#include "Libraries/Requests/request_identity.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// A request that was lost at a replica of which it is not known yet whether it has ended.
struct pending_loss
{
    request_identity request;
    organisation_id organisation;
    backend target;
};

/// Asks again, on a thread of its own, until it is known what became of the replicas, or too much time has passed.
class pending_losses
{
public:
    /// \a didEnd is called on the thread for each request whose replica has ended.
    pending_losses(replica_end_check &check, std::function<void(const pending_loss &)> didEnd);
    ~pending_losses();
    pending_losses(const pending_losses &) = delete;
    pending_losses &operator=(const pending_losses &) = delete;

    void start();
    void stop();
    void add(const pending_loss &loss);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
