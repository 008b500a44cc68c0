// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_liveness_check.h"

#include <array>

namespace vetchpost {

namespace {

/// A port without a process refuses connections within a round trip. A replica that does not answer delays a lost request by no more than
/// this.
constexpr duration probeTimeout(100);
/// A terminated replica is known as such for all requests that it loses within this time.
constexpr duration resultLifetime(500);
/// An inconclusive probe is repeated sooner.
constexpr duration unknownLifetime(150);
constexpr std::array<std::string_view, 3> livenessNames = {"ended", "there", "unknown"};

} // namespace

std::string_view replicaLivenessName(replica_liveness liveness)
{
    return livenessNames.at(static_cast<std::size_t>(liveness));
}

replica_liveness_check::replica_liveness_check(const entry_dialect &dialect, replica_paths &paths)
    : m_dialect(dialect)
    , m_paths(paths)
{
}

/// Probes the port, then the process. A connection also breaks off because of a broken link, a lost answer or corrupt data, but a
/// terminated process refuses new connections, often within 30 ms of the first lost attempt.
replica_liveness replica_liveness_check::probeNow(const backend &target, const service_id &service) const
{
    auto call = m_dialect.livenessCall(target.replica, target.address);
    call.connectTimeout = probeTimeout;
    call.receiveTimeout = probeTimeout;
    call.maximumReplySize = maximumReportSize;
    std::optional<path_failure> failure;
    reason ignored;
    const auto reply = m_paths.send(addressOf(target, service), call, failure, ignored);
    if (!reply) {
        return failure == path_failure::refused ? replica_liveness::terminated : replica_liveness::unknown;
    }
    replica_order order;
    order.kind = order_kind::probe;
    order.to = target.replica;
    const auto answer = m_dialect.readOrderAnswer(order, *reply);
    const bool isReplaced = answer.result == order_result::gone;
    const bool hasIncarnation = answer.result == order_result::accepted && answer.incarnation != replica_incarnation();
    const bool isRestarted = hasIncarnation && isAnotherIncarnation(answer.incarnation, target.incarnation);
    return isReplaced || isRestarted ? replica_liveness::terminated : replica_liveness::alive;
}

// A replica that was found alive may have ended since, so that result holds only for what was lost before the probe.
replica_liveness replica_liveness_check::probe(const backend &target, const service_id &service, instant since)
{
    std::shared_ptr<shared_probe> shared;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = monotonicNow();
        std::erase_if(m_probes, [&](const auto &entry) {
            const std::unique_lock probing(entry.second->mutex, std::try_to_lock);
            const auto &probedAt = entry.second->probedAt;
            return probing && entry.second.use_count() == 1 && probedAt && now - *probedAt >= resultLifetime;
        });
        auto &known = m_probes[{target.replica, target.incarnation}];
        if (!known) {
            known = std::make_shared<shared_probe>();
        }
        shared = known;
    }
    const std::lock_guard lock(shared->mutex);
    const auto lifetime = shared->result == replica_liveness::unknown ? unknownLifetime : resultLifetime;
    const bool isValid = shared->probedAt && monotonicNow() - *shared->probedAt < lifetime;
    const bool isTooEarly = shared->result == replica_liveness::alive && shared->begunAt < since;
    if (!isValid || isTooEarly) {
        shared->begunAt = monotonicNow();
        shared->result = probeNow(target, service);
        shared->probedAt = monotonicNow();
    }
    return shared->result;
}

} // namespace vetchpost
