// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_guard.h"

#include "Libraries/Entry/crash_refusal_store.h"

namespace vetchpost {

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
        , pending(livenessCheck, [this](const request_loss &loss) { recordTermination(loss); })
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

    /// Records that a replica terminated while it had the request, unless the replica had announced that it leaves. Returns whether that
    /// speaks fully against a part of the request's prompt.
    bool recordTermination(const request_loss &loss)
    {
        const auto &replica = loss.target.replica;
        if (hasAnnouncedLeaving(replica)) {
            return false;
        }
        const auto end = replicaEndOf(replica.value(), loss.target.incarnation.value());
        if (loss.request) {
            suspects.recordReplicaEnd(*loss.request, loss.organisation, end);
        }
        const bool namesPart = parts.recordReplicaEnd(loss.attempt, end);
        feed.syncTables();
        return namesPart;
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

// The request waits for the result, so that its next attempt takes this termination into account: a request that has ended
// endsForRefusal replicas must not end another one. A port without a process refuses connections within a round trip.
loss_result crash_guard::recordLoss(const request_loss &loss)
{
    loss_result result;
    result.liveness = d->livenessCheck.probe(loss.target, loss.service);
    if (result.liveness == replica_liveness::terminated) {
        result.namesPart = d->recordTermination(loss);
    } else if (result.liveness == replica_liveness::unknown && (loss.request || !loss.attempt.parts.shared.empty())) {
        d->pending.add(loss);
    }
    return result;
}

void crash_guard::recordAnswered(const std::optional<request_identity> &request, const request_parts &parts, instant begunAt)
{
    if (request) {
        d->suspects.recordCompletion(*request);
    }
    d->parts.recordAnswer(parts, begunAt);
}

} // namespace vetchpost
