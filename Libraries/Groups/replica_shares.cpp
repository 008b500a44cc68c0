// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/replica_shares.h"

#include <algorithm>
#include <numeric>

namespace vetchpost {

int wholeGroupCapacity(const std::vector<int> &domainSizes, int size)
{
    int capacity = 0;
    for (const auto domain : domainSizes) {
        capacity += domain / size;
    }
    return capacity;
}

std::vector<data_centre_share> shareReplicas(int replicas, std::vector<data_centre_capacity> capacities)
{
    std::sort(capacities.begin(), capacities.end(), [](const auto &left, const auto &right) { return left.dataCentre < right.dataCentre; });
    const auto totalCapacity = std::accumulate(
        capacities.begin(), capacities.end(), std::int64_t(0), [](std::int64_t sum, const auto &offer) { return sum + offer.capacity; });
    std::vector<data_centre_share> shares;
    shares.reserve(capacities.size());
    for (const auto &offer : capacities) {
        shares.push_back({offer.dataCentre, 0});
    }
    if (totalCapacity == 0 || replicas <= 0) {
        return shares;
    }
    const auto wanted = std::min<std::int64_t>(replicas, totalCapacity);
    // Largest remainder method: whole parts first, then the largest remainders, ordered by data centre if equal.
    std::vector<std::pair<std::int64_t, std::size_t>> remainders;
    std::int64_t assigned = 0;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        const auto exact = wanted * capacities[i].capacity;
        shares[i].replicas = static_cast<int>(exact / totalCapacity);
        assigned += shares[i].replicas;
        remainders.emplace_back(-(exact % totalCapacity), i);
    }
    std::sort(remainders.begin(), remainders.end());
    for (std::size_t i = 0; assigned < wanted; ++i, ++assigned) {
        ++shares[remainders[i].second].replicas;
    }
    return shares;
}

} // namespace vetchpost
