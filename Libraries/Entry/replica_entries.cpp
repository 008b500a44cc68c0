// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

/// Records a replica's revision. Returns false and records nothing if a newer one is known.
bool updateRevision(replica_entries &entries, const instance_id &replica, store_revision revision)
{
    auto &known = entries.revisions[replica];
    if (revision < known) {
        return false;
    }
    known = revision;
    return true;
}

/// Updates since when a replica is leaving. A new coordinator needs this time, since a leaving member stays for ten seconds at most.
void updateLeavingSince(replica_directory &directory, const served_replica &replica, instant now)
{
    if (!replica.isDraining) {
        directory.leavingSince.erase(replica.id);
        return;
    }
    const auto known = directory.replicas.find(replica.id);
    const bool isFirstSeen = known == directory.replicas.end() || isAnotherIncarnation(known->second.incarnation, replica.incarnation);
    if (isFirstSeen) {
        directory.leavingSince.erase(replica.id);
    }
    directory.leavingSince.try_emplace(replica.id, isFirstSeen ? instant() : now);
}

/// Keeps the model of a replica that has left its group, as its entry no longer states it: for the rest of its incarnation it can join a
/// group of the same model within 0.2 s. If heads that were ordered to leave counted as without a model, a model would be loaded again in
/// domains whose members could serve at once.
served_replica withModelKept(served_replica replica, const served_replica &before)
{
    if (!replica.model && !isAnotherIncarnation(replica.incarnation, before.incarnation)) {
        replica.model = before.model;
    }
    return replica;
}

/// Removes a replica without an entry, or keeps it as draining if it is a member of a group.
void unlist(replica_entries &entries, const instance_id &replica, instant now)
{
    entries.lapsed.erase(replica);
    const auto known = entries.directory.replicas.find(replica);
    if (known == entries.directory.replicas.end()) {
        return;
    }
    if (!known->second.membership) {
        entries.directory.replicas.erase(known);
        entries.directory.leavingSince.erase(replica);
        return;
    }
    entries.directory.leavingSince.try_emplace(replica, now);
    if (!known->second.isUnlisted) {
        // The same removal may be received twice, from the source and from the service.
        known->second.hadReportedDraining = known->second.isDraining;
    }
    known->second.isDraining = true;
    known->second.isUnlisted = true;
    known->second.isLapsed = false;
    entries.unlisted.try_emplace(replica, now + unlistedGrace);
}

} // namespace

void recordReceipt(std::vector<replica_change> &changes, bool isColdPaced, instant now)
{
    for (auto &change : changes) {
        if (!change.replica || change.replica->coldLeft <= duration()) {
            continue;
        }
        if (isColdPaced) {
            change.replica->coldUntil = now + change.replica->coldLeft;
        } else {
            change.replica->coldLeft = {};
        }
    }
}

void applyListing(replica_entries &entries,
                  const std::vector<replica_change> &replicas,
                  store_revision upTo,
                  duration outage,
                  instant now,
                  std::optional<instant> outageEnd)
{
    std::set<instance_id> present;
    for (const auto &change : replicas) {
        // An entry without a value is listed, but describes no replica.
        if (change.replica) {
            present.insert(change.id);
            applyChange(entries, change, now);
        }
    }
    std::vector<instance_id> missing;
    for (const auto &[id, replica] : entries.directory.replicas) {
        const bool isNewer = entries.revisions[id] > upTo;
        if (!present.contains(id) && !replica.isUnlisted && !isNewer) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        if (outage >= lapsingOutage) {
            // An entry that is still missing after a later outage has that much time again.
            entries.lapsed.insert_or_assign(id, outageEnd.value_or(now) + lapsedGrace);
            entries.directory.replicas.at(id).isLapsed = true;
        } else if (!entries.lapsed.contains(id)) {
            unlist(entries, id, now);
        }
    }
}

void applyChange(replica_entries &entries, const replica_change &change, instant now)
{
    const auto revision = entries.revisions.find(change.id);
    const bool isRepeated = revision != entries.revisions.end() && revision->second == change.revision;
    if (!updateRevision(entries, change.id, change.revision)) {
        return;
    }
    if (!change.replica) {
        unlist(entries, change.id, now);
        return;
    }
    updateLeavingSince(entries.directory, *change.replica, now);
    auto &known = entries.directory.replicas[change.id];
    const auto coldUntil = isRepeated ? known.coldUntil : change.replica->coldUntil;
    known = withModelKept(*change.replica, known);
    // An entry that is received again is not newer: its remaining cold time counts from when it was first received.
    known.coldUntil = coldUntil;
    entries.lapsed.erase(change.id);
    entries.unlisted.erase(change.id);
}

void extendLapsed(replica_entries &entries, instant until)
{
    for (auto &[id, deadline] : entries.lapsed) {
        deadline = std::max(deadline, until);
    }
}

bool removeLapsed(replica_entries &entries, instant now)
{
    bool hasChanged = false;
    for (auto lapsed = entries.lapsed.begin(); lapsed != entries.lapsed.end();) {
        if (lapsed->second > now) {
            ++lapsed;
            continue;
        }
        const auto replica = lapsed->first;
        lapsed = entries.lapsed.erase(lapsed);
        unlist(entries, replica, now);
        hasChanged = true;
    }
    for (auto unlisted = entries.unlisted.begin(); unlisted != entries.unlisted.end();) {
        if (unlisted->second > now) {
            ++unlisted;
            continue;
        }
        entries.directory.replicas.erase(unlisted->first);
        entries.directory.leavingSince.erase(unlisted->first);
        unlisted = entries.unlisted.erase(unlisted);
        hasChanged = true;
    }
    return hasChanged;
}

void updateLeaving(leaving_replicas &leaving, const std::set<replica_key> &replicas, instant now)
{
    std::erase_if(leaving, [&](const auto &entry) { return !replicas.contains(entry.first); });
    for (const auto &replica : replicas) {
        leaving.try_emplace(replica, now);
    }
}

bool areMarkedLeaving(const replica_directory &directory, const leaving_replicas &leaving)
{
    return std::all_of(leaving.begin(), leaving.end(), [&](const auto &entry) {
        const auto found = directory.replicas.find(entry.first.replica);
        const bool isSameIncarnation
            = found != directory.replicas.end() && !isAnotherIncarnation(found->second.incarnation, entry.first.incarnation);
        return !isSameIncarnation || reportsDraining(found->second) || found->second.hadReportedDraining;
    });
}

void markLeaving(replica_directory &directory, const leaving_replicas &leaving)
{
    for (const auto &[key, since] : leaving) {
        const auto found = directory.replicas.find(key.replica);
        if (found == directory.replicas.end() || isAnotherIncarnation(found->second.incarnation, key.incarnation)) {
            continue;
        }
        auto &replica = found->second;
        replica.isDraining = true;
        // Its entry may have been removed before it announced that it leaves.
        replica.hadReportedDraining = replica.hadReportedDraining || replica.isUnlisted;
        const auto [known, isNew] = directory.leavingSince.try_emplace(key.replica, since);
        known->second = std::min(known->second, since);
    }
}

} // namespace vetchpost
