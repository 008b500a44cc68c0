// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/cold_replicas.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Feed/table_sync.h"
#include "Libraries/Requests/replica_block.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace vetchpost {

/// The candidate replicas that must not be sent a request now.
struct blocked_backends
{
    std::vector<instance_id> replicas;
    /// The earliest time at which one of them may be sent a request again; nothing if no such time is known.
    std::optional<instant> unblockedAt;
    /// Number of them in a backoff.
    int inBackoff = 0;
    /// Number of them with a rate limit for which this daemon holds no permit.
    int limited = 0;
    /// Number of them that are leaving.
    int leaving = 0;

    /// Those of them that are only blocked because they are cold.
    std::vector<replica_key> cold;

    /// Returns the numbers for the log; empty if all are zero.
    std::string text() const;
};

/// This daemon's table of replicas that stated a rate limit, requested a backoff or leave, which is synchronised with the daemon's source
/// and followers; and the permits for replicas with a rate limit: those that it holds, and those that it issues as the source. Logs and
/// counts new constraints. Safe to use from several threads.
class shared_constraints
{
public:
    /// \a didLearnLeaving is called when a replica is newly known to leave: by applyNotice() for an answer, by notifyDepartures() for
    /// received batches.
    shared_constraints(metrics &counters, std::function<void()> didLearnLeaving);
    ~shared_constraints();
    shared_constraints(const shared_constraints &) = delete;
    shared_constraints &operator=(const shared_constraints &) = delete;

    /// Records the constraints in a replica's answer to a request, or to an order or a probe (then \a request is empty). Returns whether
    /// other daemons need to know them.
    bool applyNotice(const replica_key &replica, const replica_notice &notice, const request_id &request = {});
    /// Records replicas whose entries say that they leave. Returns whether that was new, so that other daemons need to know it.
    bool recordDepartures(const std::vector<replica_key> &replicas);
    /// Counts a request that is sent to a backend, for the log of requests to constrained replicas.
    void recordSent(const backend &target);

    /// Returns those of \a candidates that must not be sent a request now, cold ones included, without those in \a tried.
    blocked_backends blockedBackends(const std::vector<backend> &candidates, const std::vector<instance_id> &tried) const;
    /// Returns a request for a permit for one of the candidates that lack one, with the search starting at the random number \a draw;
    /// nothing if no such request is due.
    std::optional<permit_request>
    nextPermitRequest(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw);
    /// Consumes a permit for a backend. Returns false if it needs one and this daemon holds none.
    bool consumePermit(const backend &target);
    /// Waits for an answer to a permit request, until \a until at the latest.
    void awaitPermit(instant until) const;

    // Synchronisation with the source and the followers
    /// Returns the batches to send now to the source, if there is one, and to the followers.
    std::vector<feed_datagram> dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers);
    /// Merges a batch of another daemon's table. Returns its acknowledgement.
    feed_datagram receiveBatch(const constraint_batch &batch, const endpoint &from);
    /// Calls didLearnLeaving if received batches contained replicas that leave since the last call.
    void notifyDepartures();
    /// Handles the acknowledgement of a batch that was sent.
    void receiveAck(const constraint_ack &ack, const endpoint &from);
    /// As the source: issues permits to the daemon at the address \a requester. The answer may grant none.
    permit_response issue(const permit_request &request, const endpoint &requester);
    /// Stores granted permits, and wakes the threads in awaitPermit().
    void addPermits(const permit_response &response);
    /// Discards the record of issued permits, when this daemon becomes the source or stops being it: those have expired by then.
    void resetPermits();

    /// The cold replicas, to which this daemon paces its requests.
    cold_replicas &cold() const;

    /// Returns the replicas that are known to leave.
    std::set<replica_key> leaving() const;
    /// Returns the numbers of replicas in a backoff, with a rate limit, and leaving. Lists no replicas.
    blocked_backends counts() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
