// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Peers/exchange_targets.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// On average, one round in this many calls a lost peer.
constexpr unsigned roundsPerLostPeer = 5;
/// On average, one round in this many calls each other data centre from a daemon that is not the coordinator. This keeps a data centre
/// whose coordinator died in contact with the others.
constexpr unsigned roundsPerRemoteExchange = 20;

bool isOneIn(unsigned count, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<unsigned>(1, count)(random) == 1;
}

const endpoint &pickRandom(const std::vector<endpoint> &addresses, std::mt19937_64 &random)
{
    return addresses[std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(random)];
}

} // namespace

std::vector<peer_address> chooseExchangeTargets(const peer_candidates &candidates, std::mt19937_64 &random)
{
    std::vector<peer_address> targets;
    if (!candidates.local.empty()) {
        targets.push_back({pickRandom(candidates.local, random), exchange_scope::data_centre});
    }
    if (!candidates.lost.empty() && (candidates.local.empty() || isOneIn(roundsPerLostPeer, random))) {
        targets.push_back({pickRandom(candidates.lost, random), exchange_scope::data_centre});
    }
    for (const auto &dataCentre : candidates.remote) {
        if (!dataCentre.empty() && (candidates.isCoordinator || isOneIn(roundsPerRemoteExchange, random))) {
            targets.push_back({pickRandom(dataCentre, random), exchange_scope::wide});
        }
    }
    return targets;
}

} // namespace vetchpost
