// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/metrics.h"

#include <memory>
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
    std::vector<key_value_entry> changes;
};

/// The platform's key-value service. Errors are platform_unavailable; each call is counted by its kind.
class key_value_client
{
public:
    key_value_client(endpoint address, metrics &counters);
    ~key_value_client();
    key_value_client(const key_value_client &) = delete;
    key_value_client &operator=(const key_value_client &) = delete;

    /// The entry of a key; one with revision 0 where the key does not exist.
    std::optional<key_value_entry> get(const std::string &key, reason &lastReason);
    std::optional<std::vector<key_value_entry>> list(const std::string &prefix, reason &lastReason);
    /// Writes \a value if the key still has the revision \a expected. The key lives as long as \a lease, if one is given.
    swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease = {});
    std::optional<lease_number> grantLease(duration time, reason &lastReason);
    /// False where the service says that the lease has lapsed; nothing where it did not answer.
    std::optional<bool> renewLease(lease_number lease, reason &lastReason);
    /// Waits up to \a wait for changes under \a prefix after \a after.
    std::optional<watch_result> watch(const std::string &prefix, std::uint64_t after, duration wait, reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
