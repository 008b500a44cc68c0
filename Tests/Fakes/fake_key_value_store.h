// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Platform/key_value_client.h"

#include <map>
#include <string>
#include <vector>

namespace vetchpost::test {

/// In-memory model of the platform's key-value service: keys with revisions, compare-and-swap, and leases that expire. The fuzz tests and
/// the stand-in processes use it.
struct fake_key_value_store
{
    /// A key's value, with the revision of its last change. The entry is removed when its lease expires; the default lease stands for none.
    struct stored_entry
    {
        std::string value;
        key_revision changed;
        lease_number lease;
    };

    struct stored_lease
    {
        duration time{};
        instant ends;
    };

    std::map<std::string, stored_entry> entries;
    std::map<lease_number, stored_lease> leases;
    /// All changes in the order in which they were made; a deletion has an empty value.
    std::vector<key_value_entry> changes;
    std::uint64_t lastRevision = 0;
    std::uint64_t lastLease = 0;

    /// Appends a change of \a key to the history, at the current revision.
    void recordChange(const std::string &key, const std::string &value)
    {
        changes.push_back({key, value, key_revision(lastRevision)});
    }

    /// Ends the leases that have expired by \a now, and removes the entries that were attached to them.
    void expire(instant now)
    {
        std::erase_if(leases, [&](const auto &lease) { return lease.second.ends <= now; });
        for (auto entry = entries.begin(); entry != entries.end();) {
            const auto lease = entry->second.lease;
            if (lease != lease_number() && !leases.contains(lease)) {
                ++lastRevision;
                recordChange(entry->first, "");
                entry = entries.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    /// Returns the entry, or one with an empty value and the default revision if there is none.
    key_value_entry get(const std::string &key) const
    {
        const auto found = entries.find(key);
        return found == entries.end() ? key_value_entry{key, {}, {}} : key_value_entry{key, found->second.value, found->second.changed};
    }

    /// Writes \a value if the key has the expected revision and the lease, if one is given, exists; otherwise returns a conflict and writes
    /// nothing.
    swap_result swap(const std::string &key, key_revision expected, const std::string &value, lease_number lease = {})
    {
        if (get(key).changed != expected || (lease != lease_number() && !leases.contains(lease))) {
            return {swap_outcome::conflict, {}};
        }
        const key_revision changed(++lastRevision);
        entries[key] = {value, changed, lease};
        recordChange(key, value);
        return {swap_outcome::applied, changed};
    }

    /// Grants a lease that expires after \a time unless it is renewed.
    lease_number grant(duration time, instant now)
    {
        const lease_number lease(++lastLease);
        leases[lease] = {time, now + time};
        return lease;
    }

    /// Extends a lease by its full time from \a now; returns false if there is no such lease.
    bool renew(lease_number lease, instant now)
    {
        const auto found = leases.find(lease);
        if (found == leases.end()) {
            return false;
        }
        found->second.ends = now + found->second.time;
        return true;
    }
};

} // namespace vetchpost::test
