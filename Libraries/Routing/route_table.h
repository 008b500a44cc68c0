// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Routing/served_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace vetchpost {

/// A configuration with the indices that a request needs. Never changes once it is made.
class route_table
{
public:
    explicit route_table(served_configuration configuration);

    const served_configuration &configuration() const;
    /// Of the host's routes the one with the longest prefix of the path; nullptr where none fits. The host's port is ignored.
    const route *findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds a key; nullptr where none does.
    const served_organisation *findOrganisation(const std::string &key) const;
    const served_service *findService(const service_id &id) const;

private:
    served_configuration m_configuration;
    /// By host, the longest prefix first; positions in the configuration.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
    std::unordered_map<std::string, std::size_t> m_services;
};

/// The service that a request goes to: by weight, the same for the same \a draw (any number).
const service_id *chooseService(const route &chosen, std::uint64_t draw);

} // namespace vetchpost
