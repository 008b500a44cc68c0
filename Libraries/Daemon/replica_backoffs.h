// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Http/http_message.h"

#include <memory>
#include <optional>
#include <vector>

namespace vetchpost {

/// Backoff times of the engines and service instances that rejected a request of this daemon with a Retry-After header. Keyed by address,
/// as a backoff continues when routes and group generations change. Thread-safe.
class replica_backoffs
{
public:
    replica_backoffs();
    ~replica_backoffs();
    replica_backoffs(const replica_backoffs &) = delete;
    replica_backoffs &operator=(const replica_backoffs &) = delete;

    /// Records the backoff that a 429 or 503 answer with a Retry-After header asks for; ignores all other answers.
    void recordBackoff(const endpoint &from, int status, const std::vector<http_header> &headers);
    /// Returns the time at which the backoff of a backend server ends, or the epoch if it has none.
    instant backoffUntil(const endpoint &address) const;
    /// Returns the time until the first of the addresses ends its backoff, or nothing if one is not in backoff or the list is empty.
    std::optional<duration> timeUntilAvailable(const std::vector<endpoint> &addresses) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
