// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_guard.h"

#include "Libraries/Entry/crash_record.h"
#include "Libraries/Entry/pending_losses.h"

namespace vetchpost {

struct crash_guard::private_data
{
    const store_follower &store;
    peer_feed &feed;
    shared_suspects &suspects;
    replica_end_check endCheck;
    pending_losses pending;
    crash_record record;

    private_data(key_value_service &keyValue,
                 const entry_dialect &dialect,
                 const store_follower &follower,
                 peer_feed &peers,
                 shared_suspects &shared)
        : store(follower)
        , feed(peers)
        , suspects(shared)
        , endCheck(dialect)
        , pending(endCheck, [this](const pending_loss &loss) { recordReplicaEnd(loss); })
        , record(keyValue,
                 {[&peers] { return peers.isSource(); },
                  [&peers] { return peers.isSourceActive(); },
                  [&shared](const std::vector<suspect_report> &kept) { shared.mergePersisted(kept); },
                  [&shared] { return shared.refused(); }})
    {
    }

    void recordReplicaEnd(const pending_loss &loss)
    {
        const auto &replica = loss.target.replica;
        if (!hasSaidItLeaves(replica)) {
            suspects.recordReplicaEnd(loss.request, loss.organisation, replicaEndOf(replica.value(), loss.target.life.value()));
            feed.syncTables();
        }
    }

    /// One that had said that it leaves has ended as planned, whatever it ran.
    bool hasSaidItLeaves(const instance_id &replica) const
    {
        const auto directory = store.directory();
        const auto known = directory->replicas.find(replica);
        return known != directory->replicas.end() && (reportsDraining(known->second) || known->second.hadReportedDraining);
    }
};

crash_guard::crash_guard(
    key_value_service &keyValue, const entry_dialect &dialect, const store_follower &store, peer_feed &feed, shared_suspects &suspects)
    : d(std::make_unique<private_data>(keyValue, dialect, store, feed, suspects))
{
}

crash_guard::~crash_guard() = default;

void crash_guard::start()
{
    d->record.start();
    d->pending.start();
}

void crash_guard::stop()
{
    d->record.stop();
    d->pending.stop();
}

std::optional<request_identity> crash_guard::identify(const identifying_parts &parts) const
{
    const auto key = d->record.key();
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

// The request waits for the finding, so that its next try knows of this end: the third one must not become a fourth. A port that refuses
// answers within a round trip.
replica_end_finding
crash_guard::noteLoss(const std::optional<request_identity> &request, const organisation_id &organisation, const backend &target)
{
    const auto found = d->endCheck.ask(target);
    if (request && found == replica_end_finding::has_ended) {
        d->recordReplicaEnd({*request, organisation, target});
    } else if (request && found == replica_end_finding::unknown) {
        d->pending.add({*request, organisation, target});
    }
    return found;
}

void crash_guard::noteAnswered(const std::optional<request_identity> &request)
{
    if (request) {
        d->suspects.recordCompletion(*request);
    }
}

} // namespace vetchpost
