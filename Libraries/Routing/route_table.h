// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace vetchpost {

/// An immutable configuration with the indices for routing requests, and the time at which it was last the newest.
class route_table
{
public:
    explicit route_table(served_configuration configuration);

    const served_configuration &configuration() const;
    /// Returns the host's route with the longest matching path prefix, or nullptr if none matches. The host's port is ignored.
    const route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the organisation that owns a key, or nullptr if none does.
    const served_organisation *findOrganisation(const std::string &key) const;
    /// Returns the service with the id, or nullptr if there is none.
    const served_service *findService(const service_id &id) const;

    /// Records that the configuration was the newest at \a time. Any thread may call it.
    void confirm(instant time) const;
    /// Returns when the configuration was last known to be the newest; nothing before the first confirmation.
    std::optional<instant> confirmedAt() const;

private:
    served_configuration m_configuration;
    /// Indices of each host's routes in the configuration, the longest path prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_services;
    /// The time of the last confirmation by the monotonic clock, in milliseconds; 0 before the first. Kept here, so that a confirmation of
    /// one configuration is never taken for that of another.
    mutable std::atomic<std::int64_t> m_confirmedAt = 0;
};

/// Chooses a service of the route with a probability proportional to its weight. Equal values of \a randomValue (any number) give the same
/// service. Returns nullptr if no weight is positive.
const service_id *chooseService(const route &chosen, std::uint64_t randomValue);

} // namespace vetchpost
