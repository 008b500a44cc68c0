// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_looks.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Http/http_client.h"

#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");
/// A look waits for a fifth of a second at most: two groups of the largest size are looked at within one.
constexpr int lookThreads = 8;

} // namespace

struct replica_looks::private_data
{
    key_value_service &keyValue;
    const entry_dialect &dialect;
    store_follower &store;
    peer_feed &feed;
    assembly_figures &figures;
    std::function<void()> didChange;
    std::mutex mutex;
    silent_replicas silent;
    worker_pool workers{lookThreads};

    private_data(key_value_service &service,
                 const entry_dialect &words,
                 store_follower &follower,
                 peer_feed &peers,
                 assembly_figures &groupFigures,
                 std::function<void()> tellChange)
        : keyValue(service)
        , dialect(words)
        , store(follower)
        , feed(peers)
        , figures(groupFigures)
        , didChange(std::move(tellChange))
    {
    }

    void lookAtAll(const std::vector<served_replica> &replicas)
    {
        for (const auto &replica : replicas) {
            workers.run([this, replica] { look(replica); });
        }
    }

    /// Whether the replica itself answers this daemon.
    bool answers(const served_replica &replica, reason &why) const
    {
        auto call = dialect.livenessCall(replica.id, replica.address);
        call.connectTimeout = lookTimeout;
        call.receiveTimeout = lookTimeout;
        const auto reply = sendOnFreshConnection(call, why);
        if (reply && !dialect.isLivenessAnswer(*reply)) {
            why.text = "another replica has its address";
            return false;
        }
        return reply.has_value();
    }

    void look(const served_replica &replica)
    {
        reason why;
        const bool hasAnswered = answers(replica, why);
        assemblyLog.write("looked", {{"replica", replica.id.value()}, {"answers", hasAnswered}, {"why", why.text}});
        bool isNew = false;
        {
            const std::lock_guard lock(mutex);
            isNew = noteLook(silent, replica.id, {monotonicNow(), hasAnswered, replica.life});
        }
        if (!hasAnswered) {
            didChange();
        }
        if (!isNew) {
            return;
        }
        if (const auto head = headOfGroup(*store.directory(), replica)) {
            figures.noteFound(*head, monotonicNow());
            feed.tellDoubt(*head);
        }
        checkLeaving(replica.id);
    }

    /// Reads the entry of a silent replica itself: the directory may lag, and the service's watches may miss changes for a while.
    void checkLeaving(const instance_id &id)
    {
        reason why;
        const auto entry = keyValue.get(dialect.replicaPrefix() + id.value(), read_freshness::current, why);
        const bool isListed = entry && entry->changed != key_revision();
        const auto replica = isListed ? dialect.readReplica(id, entry->value, why) : std::nullopt;
        const bool isStaying = replica && !replica->isDraining;
        assemblyLog.write("silent_checked", {{"replica", id.value()}, {"leaves", !isStaying}, {"listed", isListed}, {"why", why.text}});
        if (!isStaying) {
            return;
        }
        {
            const std::lock_guard lock(mutex);
            silent.notLeaving.insert(id);
        }
        didChange();
    }
};

replica_looks::replica_looks(key_value_service &keyValue,
                             const entry_dialect &dialect,
                             store_follower &store,
                             peer_feed &feed,
                             assembly_figures &figures,
                             std::function<void()> didChange)
    : d(std::make_unique<private_data>(keyValue, dialect, store, feed, figures, std::move(didChange)))
{
}

replica_looks::~replica_looks()
{
    stop();
}

void replica_looks::stop()
{
    d->workers.stop();
}

void replica_looks::forget()
{
    const std::lock_guard lock(d->mutex);
    d->silent = {};
}

silence_report replica_looks::report(const replica_directory &directory, instant now)
{
    std::vector<served_replica> looked;
    silence_report report;
    {
        const std::lock_guard lock(d->mutex);
        report = reportSilence(d->silent, directory, now);
        looked = unlistedToLookAt(d->silent, directory, now);
    }
    d->lookAtAll(looked);
    return report;
}

void replica_looks::lookAtGroup(const instance_id &head)
{
    const auto directory = d->store.directory();
    const auto now = monotonicNow();
    d->figures.noteTold(head, now);
    std::vector<served_replica> looked;
    {
        const std::lock_guard lock(d->mutex);
        looked = membersToLookAt(d->silent, *directory, head, now);
    }
    d->lookAtAll(looked);
}

} // namespace vetchpost
