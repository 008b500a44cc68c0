// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace vetchpost {

namespace {

/// The lower-case host name without a port, by which routes are compared.
std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

} // namespace

route_table::route_table(served_configuration configuration)
    : m_configuration(std::move(configuration))
{
    const auto &routes = m_configuration.routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routes[hostKey(routes[i].host)].push_back(i);
    }
    for (auto &[host, positions] : m_routes) {
        std::stable_sort(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
            return routes[left].pathPrefix.size() > routes[right].pathPrefix.size();
        });
    }
    if (m_configuration.organisations) {
        const auto &organisations = *m_configuration.organisations;
        for (std::size_t i = 0; i < organisations.size(); ++i) {
            for (const auto &key : organisations[i].keys) {
                m_keys.emplace(key, i);
            }
        }
    }
    for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
        m_services.emplace(m_configuration.services[i].id.value(), i);
    }
}

const served_configuration &route_table::configuration() const
{
    return m_configuration;
}

const route *route_table::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routes.find(hostKey(host));
    if (found == m_routes.end()) {
        return nullptr;
    }
    const auto matching = std::find_if(found->second.begin(), found->second.end(), [&](std::size_t position) {
        return path.starts_with(m_configuration.routes[position].pathPrefix);
    });
    return matching == found->second.end() ? nullptr : &m_configuration.routes[*matching];
}

const served_organisation *route_table::findOrganisation(const std::string &key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &(*m_configuration.organisations)[found->second];
}

const served_service *route_table::findService(const service_id &id) const
{
    const auto found = m_services.find(id.value());
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

void route_table::confirm(instant time) const
{
    const auto confirmed = time.time_since_epoch().count();
    auto known = m_confirmedAt.load();
    while (known < confirmed && !m_confirmedAt.compare_exchange_weak(known, confirmed)) { }
}

std::optional<instant> route_table::confirmedAt() const
{
    const auto known = m_confirmedAt.load();
    return known > 0 ? std::optional(instant(duration(known))) : std::nullopt;
}

const service_id *chooseService(const route &chosen, std::uint64_t randomValue)
{
    std::uint64_t total = 0;
    for (const auto &entry : chosen.services) {
        total += static_cast<std::uint64_t>(std::max(0, entry.weight));
    }
    if (total == 0) {
        return nullptr;
    }
    auto left = randomValue % total;
    for (const auto &entry : chosen.services) {
        const auto weight = static_cast<std::uint64_t>(std::max(0, entry.weight));
        if (left < weight) {
            return &entry.service;
        }
        left -= weight;
    }
    return nullptr;
}

} // namespace vetchpost
