// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_prober.h"

#include "Libraries/Assembly/self_check.h"
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/worker_pool.h"

#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");
/// A probe takes a fifth of a second at most, so that two groups of the largest size are probed within one second.
constexpr int probeThreads = 8;

enum class probe_result {
    answers,
    /// Another process has the replica's address, so that the replica has ended.
    is_replaced,
    /// Its port refuses connections: its process has ended.
    has_ended,
    is_silent,
    /// This daemon is cut off from the replicas and no other one carries its calls, which says nothing about the replica.
    has_no_path
};

const char *nameOf(probe_result result)
{
    switch (result) {
    case probe_result::answers:
        return "answers";
    case probe_result::is_replaced:
        return "another replica has its address";
    case probe_result::has_ended:
        return "its port refuses connections";
    case probe_result::has_no_path:
        return "no path";
    case probe_result::is_silent:
        break;
    }
    return "silent";
}

/// Whether a process has answered, be it the replica or another one at its address.
bool isAnswer(probe_result result)
{
    return result == probe_result::answers || result == probe_result::is_replaced;
}

} // namespace

struct replica_prober::private_data
{
    key_value_service &keyValue;
    const entry_dialect &dialect;
    store_follower &store;
    peer_feed &feed;
    replica_paths &paths;
    assembly_metrics &groupMetrics;
    std::function<void()> didChange;
    answer_listener didAnswer;
    mutable std::mutex mutex;
    silent_replicas silent;
    self_check_state trouble;
    /// Number of self-checks so far; varies the choice of reference replicas.
    std::uint64_t checks = 0;
    counter voidProbes;
    /// Allows one self-check of this daemon at a time, whose result counts for all probes that wait for it. Locked before the other mutex.
    std::mutex checkMutex;
    worker_pool workers{probeThreads};

    private_data(key_value_service &service,
                 const entry_dialect &entryDialect,
                 store_follower &follower,
                 peer_feed &peers,
                 replica_paths &replicaPaths,
                 assembly_metrics &assemblyMetrics,
                 metrics &counters,
                 std::function<void()> changeListener,
                 answer_listener answerListener)
        : keyValue(service)
        , dialect(entryDialect)
        , store(follower)
        , feed(peers)
        , paths(replicaPaths)
        , groupMetrics(assemblyMetrics)
        , didChange(std::move(changeListener))
        , didAnswer(std::move(answerListener))
        , voidProbes(counters.addCounter("vetchpost_looks_void_total",
                                         "Probes of silent replicas that are ignored, since other replicas did not answer either."))
    {
    }

    void probeAll(const std::vector<served_replica> &replicas)
    {
        for (const auto &replica : replicas) {
            workers.run([this, replica] { probe(replica); });
        }
    }

    http_call probeCall(const served_replica &replica, duration timeout) const
    {
        auto call = dialect.livenessCall(replica.id, replica.address);
        call.connectTimeout = timeout;
        call.receiveTimeout = timeout;
        call.maximumReplySize = maximumReportSize;
        return call;
    }

    /// Returns what a reply to a probe shows.
    probe_result resultOf(const served_replica &replica, const http_reply &reply) const
    {
        if (!dialect.isLivenessAnswer(reply)) {
            return probe_result::is_replaced;
        }
        didAnswer(replica.id, reply);
        return probe_result::answers;
    }

    /// Probes the replica once.
    probe_result callReplica(const served_replica &replica, duration timeout, reason &why) const
    {
        std::optional<path_failure> failure;
        const auto reply = paths.send(addressOf(replica), probeCall(replica, timeout), failure, why);
        if (reply) {
            return resultOf(replica, *reply);
        }
        if (failure == path_failure::refused) {
            return probe_result::has_ended;
        }
        const bool hasNoPath = failure == path_failure::no_proxy || failure == path_failure::proxies_full;
        return hasNoPath ? probe_result::has_no_path : probe_result::is_silent;
    }

    /// Probes a replica that did not answer this daemon through another one, since this one's link to it may be the cause.
    probe_result callThroughPeer(const served_replica &replica) const
    {
        reason ignored;
        const auto reply = paths.sendThroughPeer(addressOf(replica), probeCall(replica, probeTimeout), ignored);
        return reply ? resultOf(replica, *reply) : probe_result::is_silent;
    }

    /// Whether the self-check of this daemon passes: enough reference replicas answer it. A check that has passed after \a began, when the
    /// probe of the silent replica started, is not repeated.
    bool isSoundSince(instant began, const served_replica &silentReplica)
    {
        const std::lock_guard check(checkMutex);
        std::vector<served_replica> references;
        {
            const std::lock_guard lock(mutex);
            if (hasPassedSince(trouble, began)) {
                return true;
            }
            std::set<instance_id> suspected;
            for (const auto &[id, entry] : silent.suspected) {
                suspected.insert(id);
            }
            references = chooseReferenceReplicas(*store.directory(), silentReplica, suspected, ++checks);
        }
        const auto checkBegan = monotonicNow();
        const auto needed = requiredAnswers(references.size());
        std::size_t answered = 0;
        for (const auto &reference : references) {
            reason ignored;
            // An answer of another process at the address proves as well that this daemon's link works.
            answered += answered < needed && isAnswer(callReplica(reference, referenceTimeout, ignored)) ? 1 : 0;
        }
        finishSelfCheck(checkBegan, answered, needed);
        return answered >= needed;
    }

    /// Records the result of a self-check, and logs when the checks begin to fail and when they pass again.
    void finishSelfCheck(instant began, std::size_t answered, std::size_t needed)
    {
        const std::lock_guard lock(mutex);
        const bool wasInTrouble = isSelfCheckFailing(trouble);
        recordSelfCheck(trouble, began, answered >= needed);
        if (isSelfCheckFailing(trouble) != wasInTrouble) {
            assemblyLog.write(wasInTrouble ? "own_trouble_over" : "own_trouble", {{"answered", answered}, {"needed", needed}});
        }
    }

    /// Probes a replica and records the result. A missing answer is ignored unless other replicas answer this daemon, and if the replica
    /// answers another daemon.
    void probe(const served_replica &replica)
    {
        reason why;
        const auto began = monotonicNow();
        auto result = callReplica(replica, probeTimeout, why);
        const bool isSound = result != probe_result::is_silent || isSoundSince(began, replica);
        if (result == probe_result::is_silent && isSound) {
            result = callThroughPeer(replica);
        }
        const bool isConclusive = isSound && result != probe_result::has_no_path;
        assemblyLog.write("looked",
                          {{"replica", replica.id.value()},
                           {"answers", result == probe_result::answers},
                           {"counts", isConclusive},
                           {"found", nameOf(result)},
                           {"why", why.text}});
        if (!isConclusive) {
            voidProbes.increment();
            return;
        }
        record(replica, result, began);
    }

    /// Records a conclusive probe.
    void record(const served_replica &replica, probe_result result, instant began)
    {
        const bool hasAnswered = result == probe_result::answers;
        const bool hasEnded = result == probe_result::has_ended || result == probe_result::is_replaced;
        auto effect = probe_effect::none;
        {
            const std::lock_guard lock(mutex);
            effect = recordProbe(silent, replica.id, {began, hasAnswered, replica.incarnation, hasEnded});
        }
        if (!hasAnswered) {
            didChange();
        }
        if (effect == probe_effect::none) {
            return;
        }
        if (const auto head = headOfGroup(*store.directory(), replica)) {
            groupMetrics.recordSilentMember(*head, monotonicNow());
            // The requests go elsewhere at once, also if the replica turns out to be silent for a moment only.
            feed.sendStallWarning(*head);
        }
        if (effect == probe_effect::suspected) {
            readEntryOfSilent(replica.id);
        }
    }

    /// Reads a silent replica's entry to learn whether it leaves: the directory may lag behind, and the service's watches may miss changes
    /// for a while.
    void readEntryOfSilent(const instance_id &id)
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

replica_prober::replica_prober(key_value_service &keyValue,
                               const entry_dialect &dialect,
                               store_follower &store,
                               peer_feed &feed,
                               replica_paths &paths,
                               assembly_metrics &groupMetrics,
                               metrics &counters,
                               std::function<void()> didChange,
                               answer_listener didAnswer)
    : d(std::make_unique<private_data>(
        keyValue, dialect, store, feed, paths, groupMetrics, counters, std::move(didChange), std::move(didAnswer)))
{
}

replica_prober::~replica_prober()
{
    stop();
}

void replica_prober::stop()
{
    d->workers.stop();
}

void replica_prober::reset()
{
    const std::lock_guard lock(d->mutex);
    d->silent = {};
    d->trouble = {};
}

bool replica_prober::mustHandOver(instant now) const
{
    const std::lock_guard lock(d->mutex);
    return vetchpost::mustHandOver(d->trouble, now);
}

suspicion_report replica_prober::report(const replica_directory &directory, instant now)
{
    std::vector<served_replica> targets;
    suspicion_report report;
    {
        const std::lock_guard lock(d->mutex);
        report = updateSuspicions(d->silent, directory, now);
        targets = unlistedToProbe(d->silent, directory, now);
        auto doubtful = doubtfulToProbe(d->silent, directory, now);
        std::move(doubtful.begin(), doubtful.end(), std::back_inserter(targets));
    }
    d->probeAll(targets);
    return report;
}

void replica_prober::probeGroup(const instance_id &head)
{
    const auto directory = d->store.directory();
    const auto now = monotonicNow();
    d->groupMetrics.recordStallReport(head, now);
    std::vector<served_replica> targets;
    {
        const std::lock_guard lock(d->mutex);
        targets = membersToProbe(d->silent, *directory, head, now);
    }
    d->probeAll(targets);
}

} // namespace vetchpost
