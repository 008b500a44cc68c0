// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// Counts how often the service has come back from an older copy of itself, which loses the latest changes and the leases, and gives their
/// revisions out again; 0 if the service does not tell.
using store_era = sequence<struct store_era_tag>;

/// A number that the key-value service gives out, and the era in which it did so; the number may be given out again in a later era. Ordered
/// by the era first.
template <typename tag>
class number_of_era
{
public:
    constexpr number_of_era() = default;
    constexpr explicit number_of_era(std::uint64_t number, store_era era = {})
        : m_era(era)
        , m_number(number)
    {
    }

    constexpr std::uint64_t number() const
    {
        return m_number;
    }

    constexpr store_era era() const
    {
        return m_era;
    }

    /// Whether this is the default, which stands for none.
    constexpr bool isNone() const
    {
        return m_number == 0;
    }

    constexpr auto operator<=>(const number_of_era &) const = default;

private:
    // Compared in this order.
    store_era m_era;
    std::uint64_t m_number = 0;
};

/// Whether a number is none, or of the era \a era.
template <typename tag>
constexpr bool isOfEra(number_of_era<tag> number, store_era era)
{
    return number.isNone() || number.era() == era;
}

/// A revision of the key-value service; none stands for "never" or "does not exist".
using store_revision = number_of_era<struct store_revision_tag>;
/// The revision of a key's last change; none if the key does not exist.
using key_revision = store_revision;
/// A lease of the key-value service; none stands for no lease.
using lease_number = number_of_era<struct lease_tag>;

/// More revisions than an older copy of the service lacks.
constexpr std::uint64_t revisionsPerEra = 1000000;

/// Returns a number that increases with the service's revisions over all eras.
constexpr std::uint64_t risingNumber(store_revision revision)
{
    return revision.era().value() * revisionsPerEra + revision.number();
}

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
    /// No usable response was received. The write may have taken effect, or may still do so.
    unknown,
    /// The request did not reach the service, or was rejected by it; nothing was written.
    not_sent
};

struct swap_result
{
    swap_outcome outcome = swap_outcome::not_sent;
    /// The revision after the write; set only if the write was applied.
    key_revision changed;
};

/// The result of a watch.
struct watch_result
{
    /// The revision of the service up to which this result contains all changes.
    store_revision upTo;
    /// The written entries; a deleted entry has an empty value.
    std::vector<key_value_entry> changes;
    /// The service no longer holds all changes since the requested revision, or never made them in its present era, so the entries must be
    /// listed again.
    bool isHistoryLost = false;
};

/// All entries under a prefix.
struct key_value_listing
{
    std::vector<key_value_entry> entries;
    /// The revision of the service before the listing began. A watch from this revision misses no change.
    store_revision upTo;
};

/// Whether a read must return the current value or may return an older one.
enum class read_freshness { current, may_be_stale };

/// Interface of the key-value service that the daemons use. Functions that return an optional return nothing on an error and set
/// \a lastReason to platform_unavailable. Thread-safe.
class key_value_service
{
public:
    key_value_service() = default;
    virtual ~key_value_service() = default;
    key_value_service(const key_value_service &) = delete;
    key_value_service &operator=(const key_value_service &) = delete;

    /// The entry of a key; its revision is 0 if the key does not exist.
    virtual std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) = 0;
    /// All entries whose keys begin with \a prefix.
    virtual std::optional<key_value_listing> list(const std::string &prefix, read_freshness freshness, reason &lastReason) = 0;
    /// Writes \a value if the key still has the revision \a expected, which must be of the present era unless it is none. If a lease is
    /// given, the key is deleted when the lease ends; a lease of an earlier era has ended.
    virtual swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease = {})
        = 0;
    /// Grants a lease that expires after \a time unless it is renewed.
    virtual std::optional<lease_number> grantLease(duration time, reason &lastReason) = 0;
    /// Renews a lease; false if the lease has expired or is of an earlier era, nothing if the service gave no usable answer.
    virtual std::optional<bool> renewLease(lease_number lease, reason &lastReason) = 0;
    /// Ends a lease and deletes its keys immediately, on a best-effort basis. Does nothing for a lease of an earlier era.
    virtual void endLease(lease_number lease) = 0;
    /// Waits for at most \a wait for changes under \a prefix after the revision \a after.
    virtual std::optional<watch_result> watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason) = 0;
    /// Returns the latest era that an answer has named.
    virtual store_era era() const
    {
        return {};
    }
};

} // namespace vetchpost
