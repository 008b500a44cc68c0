// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Http/http_message.h"

#include <memory>
#include <optional>
#include <vector>

namespace vetchpost {

/// Engines and service instances that rejected a request of this daemon and asked it for rest, by their addresses: a rest outlives the
/// routes and generations of groups. Safe to use from several threads.
class replica_rests
{
public:
    replica_rests();
    ~replica_rests();
    replica_rests(const replica_rests &) = delete;
    replica_rests &operator=(const replica_rests &) = delete;

    /// Takes in a rejection's Retry-After; any other answer tells nothing.
    void noteAnswer(const endpoint &from, int status, const std::vector<http_header> &headers);
    /// When it takes requests again; the beginning of time where it does not rest.
    instant backoffUntil(const endpoint &address) const;
    /// How long until the first of them has rested; nothing where one does not rest, or there is none.
    std::optional<duration> opensAfter(const std::vector<endpoint> &addresses) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
