// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// The revision of one key of the key-value service; 0 means that the key does not exist.
using key_revision = sequence<struct key_revision_tag>;
/// A lease of the key-value service; 0 means none.
using lease_number = sequence<struct lease_tag>;

struct key_value_entry
{
    std::string key;
    std::string value;
    key_revision changed;
};

enum class swap_outcome {
    /// The write took effect.
    applied,
    /// The key had another revision; nothing was written.
    conflict,
    /// The answer was lost: the write may have taken effect, now or later.
    unknown,
    /// The call did not reach the service; nothing was written.
    not_sent
};

struct swap_result
{
    swap_outcome outcome = swap_outcome::not_sent;
    /// The revision after the write; only where it was applied.
    key_revision changed;
};

/// What a waiting watch saw.
struct watch_result
{
    /// The service's revision up to which this answer tells all changes.
    std::uint64_t upTo = 0;
    /// Entries as they were written; a deleted one has an empty value.
    std::vector<key_value_entry> changes;
    /// The service no longer holds all changes since the revision that was asked for: only a new listing tells.
    bool isHistoryLost = false;
};

/// All entries under a prefix.
struct key_value_listing
{
    std::vector<key_value_entry> entries;
    /// The service's revision before the listing began: a watch from here misses nothing.
    std::uint64_t upTo = 0;
};

/// How old the answer to a read may be.
enum class read_freshness { current, may_be_stale };

/// What the daemons ask of a key-value service. Errors are platform_unavailable. Safe to use from several threads.
class key_value_service
{
public:
    key_value_service() = default;
    virtual ~key_value_service() = default;
    key_value_service(const key_value_service &) = delete;
    key_value_service &operator=(const key_value_service &) = delete;

    /// The entry of a key; one with revision 0 where the key does not exist.
    virtual std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) = 0;
    virtual std::optional<key_value_listing> list(const std::string &prefix, read_freshness freshness, reason &lastReason) = 0;
    /// Writes \a value if the key still has the revision \a expected. The key lives as long as \a lease, if one is given.
    virtual swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease = {})
        = 0;
    virtual std::optional<lease_number> grantLease(duration time, reason &lastReason) = 0;
    /// False where the service says that the lease has lapsed; nothing where it did not answer.
    virtual std::optional<bool> renewLease(lease_number lease, reason &lastReason) = 0;
    /// Ends a lease and its keys at once; best effort.
    virtual void endLease(lease_number lease) = 0;
    /// Waits up to \a wait for changes under \a prefix after \a after.
    virtual std::optional<watch_result> watch(const std::string &prefix, std::uint64_t after, duration wait, reason &lastReason) = 0;
};

} // namespace vetchpost
