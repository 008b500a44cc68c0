// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/pending_losses.h"
#include "Libraries/Entry/replica_liveness_check.h"
#include "Libraries/Entry/shared_suspects.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Requests/request_identity.h"

#include <memory>

namespace vetchpost {

/// What is known of an attempt that was lost at a replica.
struct loss_result
{
    replica_liveness liveness = replica_liveness::unknown;
    /// If the replica has terminated, a part of the request's prompt may be the cause.
    bool mayNamePart = false;
    /// The further checks of a replica that was not found terminated.
    std::shared_ptr<const pending_loss> pending;
};

/// Protects replicas from requests that crash every replica which runs them: identifies such requests under different request ids, finds
/// out which lost attempts coincided with the end of their replica, and shares the result with all daemons. Thread-safe.
class crash_guard
{
public:
    crash_guard(key_value_service &keyValue,
                const entry_dialect &dialect,
                const store_follower &store,
                replica_paths &paths,
                peer_feed &feed,
                shared_suspects &suspects,
                shared_parts &parts);
    ~crash_guard();
    crash_guard(const crash_guard &) = delete;
    crash_guard &operator=(const crash_guard &) = delete;

    void start();
    void stop();

    /// The key of digests that all daemons share; empty while it is unknown.
    std::optional<identity_key> digestKey() const;
    /// The identity of a request; empty while the digest key is unknown.
    std::optional<request_identity> identify(const identifying_parts &parts) const;
    /// Whether any request is suspected of crashing replicas. If not, identities need not be computed.
    bool hasSuspects() const;
    /// The time for which a request will still be refused by its identity; empty if it is not refused.
    std::optional<duration> refusedFor(const std::optional<request_identity> &request) const;
    /// The time for which a request will still be refused by the parts of its prompt; empty if it is not refused.
    std::optional<duration> refusedFor(const request_parts &parts) const;
    /// Whether replicas have terminated while they ran the request since it was last answered.
    bool isSuspected(const std::optional<request_identity> &request) const;
    /// Handles an attempt that was lost at a replica: checks whether the replica has terminated, and if so records that against the request
    /// and the parts of its prompt. A replica that has not terminated is checked further.
    loss_result recordLoss(const request_loss &loss);
    /// Waits for the further checks of a loss, until \a until at the latest. Returns what was found last.
    replica_liveness awaitLiveness(const pending_loss &pending, instant until);
    /// Records that the request was answered by a replica that began the answer at \a begunAt, so that it and its parts are no longer
    /// suspected.
    void recordAnswered(const std::optional<request_identity> &request, const request_parts &parts, instant begunAt);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
