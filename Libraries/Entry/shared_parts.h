// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/daemon_turn.h"
#include "Libraries/Feed/table_sync.h"
#include "Libraries/Requests/part_history.h"
#include "Libraries/Requests/part_suspects.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// The parts of the prompt of one request, for one model.
struct request_parts
{
    model_id model;
    std::vector<prompt_part> shared;
};

/// An attempt that was lost with its replica.
struct lost_attempt
{
    request_parts parts;
    lost_stage stage = lost_stage::waiting;
    instant at;
    /// A number that differs between requests.
    std::uint64_t request = 0;
};

/// This daemon's table of parts of prompts that replicas had when they ended, which is synchronised with the daemon's source and followers.
/// A part under which several replicas ended is refused. Logs and counts changes. Thread-safe.
class shared_parts
{
public:
    /// \a key returns the key of digests, \a turn this daemon's turn, \a didChange is called with the ends that parts explain when the
    /// refused parts have changed.
    shared_parts(std::function<std::optional<identity_key>()> key,
                 std::function<daemon_turn()> turn,
                 std::function<void(const std::set<replica_end> &)> didChange,
                 metrics &counters);
    ~shared_parts();
    shared_parts(const shared_parts &) = delete;
    shared_parts &operator=(const shared_parts &) = delete;

    /// Returns for how much longer requests with these parts are refused; nothing if they are not. A refusal that has lasted for its time
    /// admits one request of one daemon, to see whether the model has been mended.
    std::optional<duration> refusedFor(const request_parts &parts);
    /// Whether the end of the replica at which the attempt was lost would speak fully against one of its parts.
    bool isFullEvidence(const lost_attempt &lost);
    /// Records that a replica ended with an attempt.
    void recordReplicaEnd(const lost_attempt &lost, replica_end end);
    /// Records a whole answer that its replica began at \a begunAt, which clears the request's parts.
    void recordAnswer(const request_parts &parts, instant begunAt);
    /// Allows a part again for an operator. Returns false if it is not suspected.
    bool allow(const part_identity &part);

    /// Returns the suspects that refusals rest on, to be persisted and shown to operators.
    std::vector<part_report> refused() const;
    /// Merges refused parts that were persisted in the key-value service.
    void mergePersisted(const std::vector<part_report> &reports);

    // Synchronisation with the source and the followers
    /// Returns the batches to send now to the source, if there is one, and to the followers.
    std::vector<feed_datagram> dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers);
    /// Merges a batch of another daemon's table. Returns its acknowledgement.
    feed_datagram receiveBatch(const part_batch &batch, const endpoint &from);
    /// Handles the acknowledgement of a batch that was sent.
    void receiveAck(const part_ack &ack, const endpoint &from);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
