// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_entries.h"

#include <set>

namespace vetchpost {

void takeListing(replica_entries &entries, const std::vector<served_replica> &replicas, duration outage, instant now)
{
    std::set<instance_id> present;
    for (const auto &replica : replicas) {
        present.insert(replica.id);
        takeEntry(entries, replica);
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

void takeEntry(replica_entries &entries, const served_replica &replica)
{
    entries.directory.replicas[replica.id] = replica;
    entries.lapsed.erase(replica.id);
}

void takeRemoval(replica_entries &entries, const instance_id &replica)
{
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
