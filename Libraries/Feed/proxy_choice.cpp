// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/proxy_choice.h"

#include <limits>

namespace vetchpost {

namespace {

/// How much more likely a near daemon is chosen. A few near ones among hundreds must not get the tunnels of a whole data centre.
constexpr double nearPreference = 4;

double weightOf(const tunnel_proxy &proxy, const proxy_use &use, const tunnel_purpose &purpose)
{
    const bool isNear = proxy.dataCentre == purpose.ownDataCentre || proxy.dataCentre == purpose.replicaDataCentre;
    const auto left = proxy.capacity / (1.0 + use.tunnels);
    return isNear ? left * nearPreference : left;
}

} // namespace

std::optional<chosen_proxy> chooseProxy(
    const proxy_table &table, const std::map<endpoint, proxy_use> &uses, const tunnel_purpose &purpose, instant now, std::uint64_t draw)
{
    std::vector<std::pair<const std::pair<const endpoint, proxy_entry> *, double>> candidates;
    double total = 0;
    for (const auto &entry : table.proxies) {
        const auto known = uses.find(entry.first);
        const auto use = known == uses.end() ? proxy_use() : known->second;
        if (entry.first != table.own && reaches(entry.second.proxy, purpose.service) && use.avoidedUntil <= now) {
            total += weightOf(entry.second.proxy, use, purpose);
            candidates.emplace_back(&entry, total);
        }
    }
    const auto drawn = total * (static_cast<double>(draw) / static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
    for (const auto &[entry, sum] : candidates) {
        if (drawn <= sum) {
            return chosen_proxy{entry->first, entry->second.proxy.run};
        }
    }
    return std::nullopt;
}

} // namespace vetchpost
