// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/silent_replicas.h"
#include "Libraries/Entry/assembly_metrics.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/replica_paths.h"
#include "Libraries/Entry/store_follower.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// Probes replicas for the coordinator, on its own threads, and records which of them are silent.
class replica_prober
{
public:
    /// \a didChange is called when a probe found something that planning needs, \a didAnswer with each answer of a replica.
    replica_prober(key_value_service &keyValue,
                   const entry_dialect &dialect,
                   store_follower &store,
                   peer_feed &feed,
                   replica_paths &paths,
                   assembly_metrics &groupMetrics,
                   metrics &counters,
                   std::function<void()> didChange,
                   answer_listener didAnswer);
    ~replica_prober();
    replica_prober(const replica_prober &) = delete;
    replica_prober &operator=(const replica_prober &) = delete;

    void stop();
    /// Discards all findings, at the beginning of a term.
    void reset();
    /// Starts the due probes of group members without an entry, and returns the replicas that are known to be silent.
    suspicion_report report(const replica_directory &directory, instant now);
    /// Starts probes of all members of the group of \a head.
    void probeGroup(const instance_id &head);
    /// Whether too few reference replicas have answered this daemon for so long that another one should become the coordinator, since the
    /// fault is likely its own.
    bool mustHandOver(instant now) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
