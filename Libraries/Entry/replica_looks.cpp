// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_looks.h"

#include "Libraries/Assembly/own_trouble.h"
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Http/http_client.h"

#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");
/// A look waits for a fifth of a second at most: two groups of the largest size are looked at within one.
constexpr int lookThreads = 8;

enum class look_result {
    answers,
    /// Another process has the replica's address: it has ended.
    is_replaced,
    is_silent
};

const char *nameOf(look_result result)
{
    switch (result) {
    case look_result::answers:
        return "answers";
    case look_result::is_replaced:
        return "another replica has its address";
    case look_result::is_silent:
        break;
    }
    return "silent";
}

} // namespace

struct replica_looks::private_data
{
    key_value_service &keyValue;
    const entry_dialect &dialect;
    store_follower &store;
    peer_feed &feed;
    assembly_figures &figures;
    std::function<void()> didChange;
    answer_listener didAnswer;
    mutable std::mutex mutex;
    silent_replicas silent;
    own_trouble trouble;
    std::uint64_t checks = 0;
    counter voidLooks;
    /// One check of this daemon at a time; what it finds counts for all looks that wait for it. Taken before the other one.
    std::mutex checkMutex;
    worker_pool workers{lookThreads};

    private_data(key_value_service &service,
                 const entry_dialect &words,
                 store_follower &follower,
                 peer_feed &peers,
                 assembly_figures &groupFigures,
                 metrics &counters,
                 std::function<void()> tellChange,
                 answer_listener tellAnswer)
        : keyValue(service)
        , dialect(words)
        , store(follower)
        , feed(peers)
        , figures(groupFigures)
        , didChange(std::move(tellChange))
        , didAnswer(std::move(tellAnswer))
        , voidLooks(counters.addCounter("vetchpost_looks_void_total",
                                        "Looks at silent replicas that count for nothing, since others did not answer either."))
    {
    }

    void lookAtAll(const std::vector<served_replica> &replicas)
    {
        for (const auto &replica : replicas) {
            workers.run([this, replica] { look(replica); });
        }
    }

    /// Whether the replica itself answers this daemon.
    look_result ask(const served_replica &replica, duration timeout, reason &why) const
    {
        auto call = dialect.livenessCall(replica.id, replica.address);
        call.connectTimeout = timeout;
        call.receiveTimeout = timeout;
        const auto reply = sendOnFreshConnection(call, why);
        if (!reply) {
            return look_result::is_silent;
        }
        if (!dialect.isLivenessAnswer(*reply)) {
            return look_result::is_replaced;
        }
        didAnswer(replica.id, *reply);
        return look_result::answers;
    }

    /// Whether replicas elsewhere answered this daemon after the look at a silent one had begun.
    bool isSoundSince(instant began, const served_replica &silentReplica)
    {
        const std::lock_guard check(checkMutex);
        std::vector<served_replica> references;
        {
            const std::lock_guard lock(mutex);
            if (wasSoundSince(trouble, began)) {
                return true;
            }
            std::set<instance_id> suspected;
            for (const auto &[id, entry] : silent.suspected) {
                suspected.insert(id);
            }
            references = referencesFor(*store.directory(), silentReplica, suspected, ++checks);
        }
        const auto checkBegan = monotonicNow();
        const auto needed = answersNeeded(references.size());
        std::size_t answered = 0;
        for (const auto &reference : references) {
            reason ignored;
            // Another process at its address answers for this daemon's link as well.
            answered += answered < needed && ask(reference, referenceTimeout, ignored) != look_result::is_silent ? 1 : 0;
        }
        noteChecked(checkBegan, answered, needed);
        return answered >= needed;
    }

    void noteChecked(instant began, std::size_t answered, std::size_t needed)
    {
        const std::lock_guard lock(mutex);
        const bool wasInTrouble = isInTrouble(trouble);
        noteCheck(trouble, began, answered >= needed);
        if (isInTrouble(trouble) != wasInTrouble) {
            assemblyLog.write(wasInTrouble ? "own_trouble_over" : "own_trouble", {{"answered", answered}, {"needed", needed}});
        }
    }

    void look(const served_replica &replica)
    {
        reason why;
        const auto began = monotonicNow();
        const auto result = ask(replica, lookTimeout, why);
        const bool hasAnswered = result == look_result::answers;
        const bool counts = result != look_result::is_silent || isSoundSince(began, replica);
        assemblyLog.write(
            "looked",
            {{"replica", replica.id.value()}, {"answers", hasAnswered}, {"counts", counts}, {"found", nameOf(result)}, {"why", why.text}});
        if (!counts) {
            voidLooks.increment();
            return;
        }
        bool isNew = false;
        {
            const std::lock_guard lock(mutex);
            isNew = noteLook(silent, replica.id, {began, hasAnswered, replica.life});
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
                             metrics &counters,
                             std::function<void()> didChange,
                             answer_listener didAnswer)
    : d(std::make_unique<private_data>(keyValue, dialect, store, feed, figures, counters, std::move(didChange), std::move(didAnswer)))
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
    d->trouble = {};
}

bool replica_looks::mustHandOver(instant now) const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::mustHandOver(d->trouble, now);
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
