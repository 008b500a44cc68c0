// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

/// Notes a revision; false where a newer one is known.
bool isNewer(replica_entries &entries, const instance_id &replica, std::uint64_t revision)
{
    auto &known = entries.revisions[replica];
    if (revision < known) {
        return false;
    }
    known = revision;
    return true;
}

/// A coordinator that takes over has to know how long a member has been leaving: it stays for ten seconds at most.
void noteLeaving(replica_directory &directory, const served_replica &replica, instant now)
{
    if (!replica.isDraining) {
        directory.leavingSince.erase(replica.id);
        return;
    }
    const auto known = directory.replicas.find(replica.id);
    const bool isFirstSeen = known == directory.replicas.end() || isAnotherLife(known->second.life, replica.life);
    if (isFirstSeen) {
        directory.leavingSince.erase(replica.id);
    }
    directory.leavingSince.try_emplace(replica.id, isFirstSeen ? instant() : now);
}

// A replica that gives up its place no longer says what it ran, but takes a place in a group of the same model within 0.2 s for the rest of
// its life. If heads that were told to leave counted as without any model, domains whose members could serve at once would load
// one of them anew.
served_replica withModelKept(served_replica replica, const served_replica &before)
{
    if (!replica.model && !isAnotherLife(replica.life, before.life)) {
        replica.model = before.model;
    }
    return replica;
}

/// Takes a replica out, or keeps a member of a group as one that drains.
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
        // The same removal may be told twice, by the source and by the service.
        known->second.hasAnnounced = known->second.isDraining;
    }
    known->second.isDraining = true;
    known->second.isUnlisted = true;
    entries.unlisted.try_emplace(replica, now + unlistedStay);
}

} // namespace

void takeListing(replica_entries &entries, const std::vector<replica_change> &replicas, std::uint64_t upTo, duration outage, instant now)
{
    std::set<instance_id> present;
    for (const auto &change : replicas) {
        // An entry without a value is listed, but tells of no replica.
        if (change.replica) {
            present.insert(change.id);
            takeChange(entries, change, now);
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
            entries.lapsed.try_emplace(id, now + lapsedGrace);
        } else if (!entries.lapsed.contains(id)) {
            unlist(entries, id, now);
        }
    }
}

void takeChange(replica_entries &entries, const replica_change &change, instant now)
{
    if (!isNewer(entries, change.id, change.revision)) {
        return;
    }
    if (!change.replica) {
        unlist(entries, change.id, now);
        return;
    }
    noteLeaving(entries.directory, *change.replica, now);
    auto &known = entries.directory.replicas[change.id];
    known = withModelKept(*change.replica, known);
    entries.lapsed.erase(change.id);
    entries.unlisted.erase(change.id);
}

bool dropLapsed(replica_entries &entries, instant now)
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

void noteLeaving(leaving_replicas &leaving, const std::set<replica_key> &replicas, instant now)
{
    std::erase_if(leaving, [&](const auto &entry) { return !replicas.contains(entry.first); });
    for (const auto &replica : replicas) {
        leaving.try_emplace(replica, now);
    }
}

bool areShown(const replica_directory &directory, const leaving_replicas &leaving)
{
    return std::all_of(leaving.begin(), leaving.end(), [&](const auto &entry) {
        const auto found = directory.replicas.find(entry.first.replica);
        const bool isMeant = found != directory.replicas.end() && !isAnotherLife(found->second.life, entry.first.life);
        return !isMeant || saysItLeaves(found->second) || found->second.hasAnnounced;
    });
}

void showLeaving(replica_directory &directory, const leaving_replicas &leaving)
{
    for (const auto &[key, since] : leaving) {
        const auto found = directory.replicas.find(key.replica);
        if (found == directory.replicas.end() || isAnotherLife(found->second.life, key.life)) {
            continue;
        }
        auto &replica = found->second;
        replica.isDraining = true;
        // Its entry may have gone before it said anything.
        replica.hasAnnounced = replica.hasAnnounced || replica.isUnlisted;
        const auto [known, isNew] = directory.leavingSince.try_emplace(key.replica, since);
        known->second = std::min(known->second, since);
    }
}

} // namespace vetchpost
