// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Feed/table_sync.h"

#include <atomic>
#include <memory>

namespace vetchpost {

/// This daemon's table of requests under which replicas ended, and how far its neighbours have it. Logs and counts what it learns. Safe to
/// use from several threads.
class shared_suspects
{
public:
    explicit shared_suspects(metrics &counters);
    ~shared_suspects();
    shared_suspects(const shared_suspects &) = delete;
    shared_suspects &operator=(const shared_suspects &) = delete;

    /// Whether there is any: without one no request's identity matters.
    bool hasAny() const;
    /// How long a request is still refused; nothing where it is not.
    std::optional<duration> refusedFor(const request_identity &request) const;
    void noteEnd(const request_identity &request, const organisation_id &organisation, replica_end end);
    void noteAnswered(const request_identity &request);
    /// An operator's word that a request may run again: its ends so far no longer count. False where it is not known.
    bool allow(const request_identity &request);

    /// The refused ones: to be kept, and shown.
    std::vector<crash_evidence> refused() const;
    /// What was kept.
    void takeKept(const std::vector<crash_evidence> &evidence);

    // The neighbours.
    std::vector<feed_datagram> due(const std::optional<endpoint> &source, const std::vector<endpoint> &followers);
    feed_datagram take(const suspect_batch &list, const endpoint &from);
    void take(const suspect_ack &receipt, const endpoint &from);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
