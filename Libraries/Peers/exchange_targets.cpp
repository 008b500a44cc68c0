// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Peers/exchange_targets.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// One round in so many asks a lost peer; one in so many asks another data centre without being the coordinator, so that
/// a data centre whose coordinator died still hears of the others.
constexpr unsigned lostPeerRounds = 5;
constexpr unsigned remoteRounds = 20;

bool isOneIn(unsigned count, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<unsigned>(1, count)(random) == 1;
}

const endpoint &anyOf(const std::vector<endpoint> &addresses, std::mt19937_64 &random)
{
    return addresses[std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(random)];
}

} // namespace

std::vector<peer_address> chooseExchangeTargets(const peer_candidates &candidates, std::mt19937_64 &random)
{
    std::vector<peer_address> targets;
    if (!candidates.local.empty()) {
        targets.push_back({anyOf(candidates.local, random), exchange_scope::data_centre});
    }
    if (!candidates.lost.empty() && (candidates.local.empty() || isOneIn(lostPeerRounds, random))) {
        targets.push_back({anyOf(candidates.lost, random), exchange_scope::data_centre});
    }
    for (const auto &dataCentre : candidates.remote) {
        if (!dataCentre.empty() && (candidates.isCoordinator || isOneIn(remoteRounds, random))) {
            targets.push_back({anyOf(dataCentre, random), exchange_scope::wide});
        }
    }
    return targets;
}

} // namespace vetchpost
