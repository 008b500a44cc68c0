// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/silent_replicas.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A replica that did not answer is suspected for this time, unless it answers, restarts or its entry goes.
constexpr duration suspicionTime(10000);
/// Time between two probes of a member without an entry.
constexpr duration unlistedProbePeriod(800);
/// Number of members without an entry that are probed within one probeTimeout. If many replicas are cut off from the key-value service,
/// probing all of them at once would use up a small coordinator's processor, and its followers would receive nothing.
constexpr std::size_t unlistedProbesPerBatch = 8;
/// Time between two probes of a suspected member without an entry; shorter than suspicionTime.
constexpr duration silentProbePeriod(4000);

// A crashed replica cannot change its entry, so one that marks itself as leaving after it was found silent is alive. It has stopped
// listening, or soon will, and still finishes requests; if it were considered dead, its members would be ordered into a second group. An
// entry that is gone proves nothing.
bool hasReportedDrainingSince(const replica_directory &directory, const instance_id &id)
{
    const auto found = directory.replicas.find(id);
    return found != directory.replicas.end() && reportsDraining(found->second);
}

bool isExpired(const suspicion &suspected, const replica_directory &directory, const instance_id &id, instant now)
{
    const auto found = directory.replicas.find(id);
    return suspected.until <= now || found == directory.replicas.end()
        || isAnotherIncarnation(found->second.incarnation, suspected.incarnation);
}

} // namespace

suspicion_report updateSuspicions(silent_replicas &silent, const replica_directory &directory, instant now)
{
    std::erase_if(silent.lastAnswered, [&](const auto &entry) { return !directory.replicas.contains(entry.first); });
    std::erase_if(silent.doubtful, [&](const auto &entry) { return !directory.replicas.contains(entry.first); });
    std::erase_if(silent.suspected, [&](const auto &entry) { return isExpired(entry.second, directory, entry.first, now); });
    std::erase_if(silent.notLeaving,
                  [&](const instance_id &id) { return !silent.suspected.contains(id) || hasReportedDrainingSince(directory, id); });
    suspicion_report report;
    for (const auto &[id, suspected] : silent.suspected) {
        report.suspects.insert(id);
    }
    report.notLeaving = silent.notLeaving;
    return report;
}

std::vector<served_replica> unlistedToProbe(silent_replicas &silent, const replica_directory &directory, instant now)
{
    std::erase_if(silent.lastProbes, [&](const auto &entry) { return !directory.replicas.contains(entry.first); });
    if (now < silent.nextUnlistedProbes) {
        return {};
    }
    std::vector<std::pair<instant, const served_replica *>> due;
    for (const auto &[id, replica] : directory.replicas) {
        const auto last = silent.lastProbes[id];
        const auto period = silent.suspected.contains(id) ? silentProbePeriod : unlistedProbePeriod;
        if (replica.isUnlisted && now - last >= period) {
            due.emplace_back(last, &replica);
        }
    }
    // The replicas whose last probe is the oldest come first.
    std::stable_sort(due.begin(), due.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    due.resize(std::min(due.size(), unlistedProbesPerBatch));
    std::vector<served_replica> chosen;
    for (const auto &[last, replica] : due) {
        silent.lastProbes[replica->id] = now;
        chosen.push_back(*replica);
    }
    if (!chosen.empty()) {
        silent.nextUnlistedProbes = now + probeTimeout;
    }
    return chosen;
}

std::vector<served_replica>
membersToProbe(silent_replicas &silent, const replica_directory &directory, const instance_id &head, instant now)
{
    std::vector<served_replica> chosen;
    const auto found = directory.replicas.find(head);
    if (found == directory.replicas.end() || !found->second.membership) {
        return chosen;
    }
    for (const auto &[id, replica] : directory.replicas) {
        const bool isMember = replica.membership && replica.membership->group == found->second.membership->group;
        if (!isMember || silent.suspected.contains(id)) {
            continue;
        }
        auto &last = silent.lastProbes[id];
        if (now - last >= probeTimeout * 2) {
            last = now;
            chosen.push_back(replica);
        }
    }
    return chosen;
}

std::vector<served_replica> doubtfulToProbe(silent_replicas &silent, const replica_directory &directory, instant now)
{
    std::vector<served_replica> chosen;
    for (const auto &[id, doubt] : silent.doubtful) {
        const auto found = directory.replicas.find(id);
        auto &last = silent.lastProbes[id];
        if (found != directory.replicas.end() && now - last >= probeTimeout * 2) {
            last = now;
            chosen.push_back(found->second);
        }
    }
    return chosen;
}

probe_effect recordProbe(silent_replicas &silent, const instance_id &replica, const direct_probe &probe)
{
    const auto known = silent.suspected.find(replica);
    const bool isSuspected = known != silent.suspected.end();
    if (isSuspected && known->second.began > probe.began) {
        return probe_effect::none;
    }
    auto &answered = silent.lastAnswered[replica];
    if (probe.hasAnswered) {
        answered = std::max(answered, probe.began);
        silent.suspected.erase(replica);
        silent.doubtful.erase(replica);
        silent.notLeaving.erase(replica);
        return probe_effect::none;
    }
    if (answered > probe.began) {
        return probe_effect::none;
    }
    const bool isNew = !isSuspected || isAnotherIncarnation(known->second.incarnation, probe.incarnation);
    if (isNew && !probe.hasEnded) {
        const auto [doubt, isFirst] = silent.doubtful.try_emplace(replica, silence{probe.began, probe.incarnation});
        if (isFirst || isAnotherIncarnation(doubt->second.incarnation, probe.incarnation)) {
            doubt->second = {probe.began, probe.incarnation};
            return probe_effect::doubtful;
        }
        doubt->second.since = std::min(doubt->second.since, probe.began);
        if (probe.began - doubt->second.since < silenceBeforeSuspicion) {
            return probe_effect::none;
        }
    }
    silent.doubtful.erase(replica);
    silent.suspected[replica] = {probe.began, probe.began + suspicionTime, probe.incarnation};
    return isNew ? probe_effect::suspected : probe_effect::none;
}

std::optional<instance_id> headOfGroup(const replica_directory &directory, const served_replica &replica)
{
    for (const auto &[id, other] : directory.replicas) {
        const bool isHead = replica.membership && other.membership && other.membership->group == replica.membership->group
            && other.membership->formed == replica.membership->formed && other.membership->rank == 0;
        if (isHead) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace vetchpost
