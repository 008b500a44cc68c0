// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Routing/served_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace vetchpost {

/// An immutable configuration with the indices for routing requests.
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

private:
    served_configuration m_configuration;
    /// Indices of each host's routes in the configuration, the longest path prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_services;
};

/// Chooses a service of the route with a probability proportional to its weight. Equal values of \a randomValue (any number) give the same
/// service. Returns nullptr if no weight is positive.
const service_id *chooseService(const route &chosen, std::uint64_t randomValue);

} // namespace vetchpost
