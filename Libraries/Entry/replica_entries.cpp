// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"

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

} // namespace

void takeListing(replica_entries &entries, const std::vector<replica_entry> &replicas, duration outage, instant now)
{
    std::set<instance_id> present;
    for (const auto &entry : replicas) {
        present.insert(entry.replica.id);
        takeEntry(entries, entry);
    }
    for (auto known = entries.directory.replicas.begin(); known != entries.directory.replicas.end();) {
        const bool isMissing = !present.contains(known->first);
        if (isMissing && outage >= lapsingOutage) {
            entries.lapsed.try_emplace(known->first, now + lapsedGrace);
        }
        const bool isBelieved = !isMissing || entries.lapsed.contains(known->first);
        known = isBelieved ? std::next(known) : entries.directory.replicas.erase(known);
    }
}

void takeEntry(replica_entries &entries, const replica_entry &entry)
{
    const auto &id = entry.replica.id;
    if (!isNewer(entries, id, entry.revision)) {
        return;
    }
    entries.directory.replicas[id] = entry.replica;
    entries.lapsed.erase(id);
}

void takeRemoval(replica_entries &entries, const instance_id &replica, std::uint64_t revision)
{
    if (!isNewer(entries, replica, revision)) {
        return;
    }
    entries.directory.replicas.erase(replica);
    entries.lapsed.erase(replica);
}

bool dropLapsed(replica_entries &entries, instant now)
{
    const auto before = entries.directory.replicas.size();
    for (auto lapsed = entries.lapsed.begin(); lapsed != entries.lapsed.end();) {
        if (lapsed->second > now) {
            ++lapsed;
            continue;
        }
        entries.directory.replicas.erase(lapsed->first);
        lapsed = entries.lapsed.erase(lapsed);
    }
    return entries.directory.replicas.size() != before;
}

} // namespace vetchpost
