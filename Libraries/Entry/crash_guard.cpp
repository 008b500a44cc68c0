// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_guard.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/crash_refusal_store.h"

namespace vetchpost {

namespace {

constexpr event_log crashLog("crash");

} // namespace

struct crash_guard::private_data
{
    const store_follower &store;
    peer_feed &feed;
    shared_suspects &suspects;
    shared_parts &parts;
    replica_liveness_check livenessCheck;
    pending_losses pending;
    crash_refusal_store refusalStore;

    private_data(key_value_service &keyValue,
                 const entry_dialect &dialect,
                 const store_follower &follower,
                 replica_paths &paths,
                 peer_feed &peers,
                 shared_suspects &shared,
                 shared_parts &promptParts)
        : store(follower)
        , feed(peers)
        , suspects(shared)
        , parts(promptParts)
        , livenessCheck(dialect, paths)
        , pending(livenessCheck, [this](const request_loss &loss) { recordLateTermination(loss); })
        , refusalStore(keyValue,
                       {[&peers] { return peers.isSource(); },
                        [&peers] { return peers.isSourceActive(); },
                        [&shared, &promptParts](const crash_refusals &kept) {
                            shared.mergePersisted(kept.refused);
                            promptParts.mergePersisted(kept.parts);
                        },
                        [&shared, &promptParts](crash_refusals &current) {
                            current.refused = shared.refused();
                            current.parts = promptParts.refused();
                        }})
    {
    }

    /// Records that a replica terminated while it had the request, unless the replica had announced that it leaves.
    void recordTermination(const request_loss &loss)
    {
        const auto &replica = loss.target.replica;
        if (hasAnnouncedLeaving(replica)) {
            return;
        }
        const auto end = replicaEndOf(replica.value(), loss.target.incarnation.value());
        if (loss.request) {
            suspects.recordReplicaEnd(*loss.request, loss.organisation, end);
        }
        parts.recordReplicaEnd(loss.attempt, end);
        feed.syncTables();
    }

    void recordLateTermination(const request_loss &loss)
    {
        crashLog.writeEssential("late_end_found",
                                {{"identity", loss.request ? loss.request->value() : ""},
                                 {"replica", loss.target.replica.value()},
                                 {"after_ms", (monotonicNow() - loss.attempt.at).count()}});
        recordTermination(loss);
    }

    /// Whether the replica had announced that it leaves. Such a replica has ended as planned, whatever it was running.
    bool hasAnnouncedLeaving(const instance_id &replica) const
    {
        const auto directory = store.directory();
        const auto known = directory->replicas.find(replica);
        return known != directory->replicas.end() && (reportsDraining(known->second) || known->second.hadReportedDraining);
    }
};

crash_guard::crash_guard(key_value_service &keyValue,
                         const entry_dialect &dialect,
                         const store_follower &store,
                         replica_paths &paths,
                         peer_feed &feed,
                         shared_suspects &suspects,
                         shared_parts &parts)
    : d(std::make_unique<private_data>(keyValue, dialect, store, paths, feed, suspects, parts))
{
}

crash_guard::~crash_guard() = default;

void crash_guard::start()
{
    d->refusalStore.start();
    d->pending.start();
}

void crash_guard::stop()
{
    d->refusalStore.stop();
    d->pending.stop();
}

std::optional<identity_key> crash_guard::digestKey() const
{
    return d->refusalStore.key();
}

std::optional<request_identity> crash_guard::identify(const identifying_parts &parts) const
{
    const auto key = d->refusalStore.key();
    return key ? std::optional(identityOf(*key, parts)) : std::nullopt;
}

bool crash_guard::hasSuspects() const
{
    return d->suspects.hasAny();
}

std::optional<duration> crash_guard::refusedFor(const std::optional<request_identity> &request) const
{
    return request ? d->suspects.refusedFor(*request) : std::nullopt;
}

std::optional<duration> crash_guard::refusedFor(const request_parts &parts) const
{
    return d->parts.refusedFor(parts);
}

bool crash_guard::isSuspected(const std::optional<request_identity> &request) const
{
    return request && d->suspects.isSuspected(*request);
}

// The request waits for the result, so that its next attempt takes this termination into account: a request that has ended
// endsForRefusal replicas must not end another one. A port without a process refuses connections within a round trip. A replica that
// answers may be about to end: a process that crashes closes its connections and its port one after the other.
loss_result crash_guard::recordLoss(const request_loss &loss)
{
    loss_result result;
    result.mayNamePart = !d->hasAnnouncedLeaving(loss.target.replica) && d->parts.isFullEvidence(loss.attempt);
    result.liveness = d->livenessCheck.probe(loss.target, loss.service, loss.attempt.at);
    if (result.liveness == replica_liveness::terminated) {
        d->recordTermination(loss);
    } else if (loss.request || !loss.attempt.parts.shared.empty()) {
        result.pending = d->pending.add(loss, result.liveness);
    }
    return result;
}

replica_liveness crash_guard::awaitLiveness(const pending_loss &pending, instant until)
{
    return d->pending.await(pending, until);
}

void crash_guard::recordAnswered(const std::optional<request_identity> &request, const request_parts &parts, instant begunAt)
{
    if (request) {
        d->suspects.recordCompletion(*request);
    }
    d->parts.recordAnswer(parts, begunAt);
}

} // namespace vetchpost
