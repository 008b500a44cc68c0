// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Feed/table_sync.h"

#include <atomic>
#include <memory>

namespace vetchpost {

/// This daemon's table of requests that replicas ran when they ended, which is synchronised with the daemon's source and followers. A
/// request under which several replicas ended is refused. Logs and counts changes. Safe to use from several threads.
class shared_suspects
{
public:
    explicit shared_suspects(metrics &counters);
    ~shared_suspects();
    shared_suspects(const shared_suspects &) = delete;
    shared_suspects &operator=(const shared_suspects &) = delete;

    /// Whether there is any suspect. While there is none, callers need not compute a request's identity.
    bool hasAny() const;
    /// Whether replicas have ended while they ran the request since it was last cleared.
    bool isSuspected(const request_identity &request) const;
    /// Returns for how much longer a request is refused; nothing if it is not.
    std::optional<duration> refusedFor(const request_identity &request) const;
    /// Records that a replica ended while it ran a request.
    void recordReplicaEnd(const request_identity &request, const organisation_id &organisation, replica_end end);
    /// Records that this daemon received the complete answer to a request, which clears it of suspicion.
    void recordCompletion(const request_identity &request);
    /// Sets which ends of replicas a part of prompts explains; they count against no request.
    void setExplained(const std::set<replica_end> &ends);
    /// Allows a request again for an operator: the ends recorded so far no longer count. Returns false if the request is unknown.
    bool allow(const request_identity &request);

    /// Returns the refused requests, to be persisted and shown to operators.
    std::vector<suspect_report> refused() const;
    /// Merges refused requests that were persisted in the key-value service.
    void mergePersisted(const std::vector<suspect_report> &evidence);

    // Synchronisation with the source and the followers
    /// Returns the batches to send now to the source, if there is one, and to the followers.
    std::vector<feed_datagram> dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers);
    /// Merges a batch of another daemon's table. Returns its acknowledgement.
    feed_datagram receiveBatch(const suspect_batch &batch, const endpoint &from);
    /// Handles the acknowledgement of a batch that was sent.
    void receiveAck(const suspect_ack &ack, const endpoint &from);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
