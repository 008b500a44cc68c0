// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/replica_shares.h"

#include <algorithm>
#include <numeric>

namespace vetchpost {

int wholeGroupRoom(const std::vector<int> &domainSizes, int size)
{
    int room = 0;
    for (const auto domain : domainSizes) {
        room += domain / size;
    }
    return room;
}

std::vector<data_centre_share> shareReplicas(int replicas, std::vector<data_centre_offer> offers)
{
    std::sort(offers.begin(), offers.end(), [](const auto &left, const auto &right) { return left.dataCentre < right.dataCentre; });
    const auto totalRoom = std::accumulate(
        offers.begin(), offers.end(), std::int64_t(0), [](std::int64_t sum, const auto &offer) { return sum + offer.room; });
    std::vector<data_centre_share> shares;
    shares.reserve(offers.size());
    for (const auto &offer : offers) {
        shares.push_back({offer.dataCentre, 0});
    }
    if (totalRoom == 0 || replicas <= 0) {
        return shares;
    }
    const auto wanted = std::min<std::int64_t>(replicas, totalRoom);
    // The whole parts first, then the largest remainders; the name decides between equal ones.
    std::vector<std::pair<std::int64_t, std::size_t>> remainders;
    std::int64_t given = 0;
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const auto exact = wanted * offers[i].room;
        shares[i].replicas = static_cast<int>(exact / totalRoom);
        given += shares[i].replicas;
        remainders.emplace_back(-(exact % totalRoom), i);
    }
    std::sort(remainders.begin(), remainders.end());
    for (std::size_t i = 0; given < wanted; ++i, ++given) {
        ++shares[remainders[i].second].replicas;
    }
    return shares;
}

} // namespace vetchpost
