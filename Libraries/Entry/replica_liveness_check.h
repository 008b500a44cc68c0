// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Entry/replica_paths.h"

#include <map>
#include <memory>
#include <mutex>

namespace vetchpost {

/// Whether a replica whose connection broke off is still running.
enum class replica_liveness {
    /// Its port refuses connections although other replicas are reached, or another instance or a later incarnation answers there.
    terminated,
    /// It answers: only the connection was lost, not the replica.
    alive,
    /// There is no answer, which may also be due to a network partition.
    unknown
};

/// The name of a result in the log.
std::string_view replicaLivenessName(replica_liveness liveness);

/// Probes replicas at which requests were lost. Thread-safe.
class replica_liveness_check
{
public:
    replica_liveness_check(const entry_dialect &dialect, replica_paths &paths);

    /// Probes the replica and waits for the result, for as long as a lost request may be delayed at most. Requests that the replica loses
    /// within a short time share one probe, but a result that the replica is alive only if its probe began at \a since or later.
    replica_liveness probe(const backend &target, const service_id &service, instant since);

private:
    struct shared_probe
    {
        std::mutex mutex;
        /// When the last probe began and ended.
        instant begunAt;
        std::optional<instant> probedAt;
        replica_liveness result = replica_liveness::unknown;
    };

    replica_liveness probeNow(const backend &target, const service_id &service) const;

    const entry_dialect &m_dialect;
    replica_paths &m_paths;
    std::mutex m_mutex;
    /// By replica and incarnation.
    std::map<std::pair<instance_id, replica_incarnation>, std::shared_ptr<shared_probe>> m_probes;
};

} // namespace vetchpost
