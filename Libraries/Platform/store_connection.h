// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_client.h"
#include "Libraries/Platform/store_era_record.h"

namespace vetchpost {

/// Sends calls to a key-value service whose answers name its era in a header, and records the latest era. Thread-safe.
class store_connection
{
public:
    explicit store_connection(std::string eraHeader);

    /// Sends a call that may be repeated. Errors as of http_connection_pool::send().
    std::optional<http_reply> send(const http_call &call, reason &lastReason);
    /// Sends a call that must not be repeated. The connection pool could send it twice, and the second attempt of a write that took effect
    /// would look like a conflict.
    std::optional<http_reply> sendOnce(const http_call &call, reason &lastReason);
    /// Returns the era in which a reply was made.
    store_era eraOf(const std::optional<http_reply> &reply);
    const store_era_record &eras() const;

private:
    const std::string m_eraHeader;
    http_connection_pool m_connections;
    store_era_record m_eras;
};

} // namespace vetchpost
