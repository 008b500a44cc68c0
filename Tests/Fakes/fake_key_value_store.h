// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Platform/key_value_client.h"

#include <map>
#include <string>
#include <vector>

namespace vetchpost::test {

/// The platform's key-value service as a plain struct: keys with revisions, leases that lapse. Used by the fuzzers and by the
/// stand-in process.
struct fake_key_value_store
{
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
    /// Every change in its order, deletions with an empty value.
    std::vector<key_value_entry> changes;
    std::uint64_t lastRevision = 0;
    std::uint64_t lastLease = 0;

    void note(const std::string &key, const std::string &value)
    {
        changes.push_back({key, value, key_revision(lastRevision)});
    }

    void expire(instant now)
    {
        std::erase_if(leases, [&](const auto &lease) { return lease.second.ends <= now; });
        for (auto entry = entries.begin(); entry != entries.end();) {
            const auto lease = entry->second.lease;
            if (lease != lease_number() && !leases.contains(lease)) {
                ++lastRevision;
                note(entry->first, "");
                entry = entries.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    key_value_entry get(const std::string &key) const
    {
        const auto found = entries.find(key);
        return found == entries.end() ? key_value_entry{key, {}, {}} : key_value_entry{key, found->second.value, found->second.changed};
    }

    swap_result swap(const std::string &key, key_revision expected, const std::string &value, lease_number lease = {})
    {
        if (get(key).changed != expected || (lease != lease_number() && !leases.contains(lease))) {
            return {swap_outcome::conflict, {}};
        }
        const key_revision changed(++lastRevision);
        entries[key] = {value, changed, lease};
        note(key, value);
        return {swap_outcome::applied, changed};
    }

    lease_number grant(duration time, instant now)
    {
        const lease_number lease(++lastLease);
        leases[lease] = {time, now + time};
        return lease;
    }

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
