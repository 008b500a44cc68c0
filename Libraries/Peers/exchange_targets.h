// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Peers/exchange.h"

#include <random>
#include <vector>

namespace vetchpost {

/// A peer that could be called.
struct peer_address
{
    endpoint address;
    exchange_scope scope = exchange_scope::data_centre;
};

/// All peers that a round of exchanges chooses from.
struct peer_candidates
{
    /// Live daemons of the own data centre, without the own one.
    std::vector<endpoint> local;
    /// Daemons of other data centres, one list each.
    std::vector<std::vector<endpoint>> remote;
    /// The first contacts of the settings, and peers that seem dead: asked now and then, so that a cut that has healed is
    /// found and two halves that lost each other meet again.
    std::vector<endpoint> lost;
    /// Whether this daemon speaks for its data centre.
    bool isCoordinator = false;
};

/// Chooses whom to exchange with in one round.
std::vector<peer_address> chooseExchangeTargets(const peer_candidates &candidates, std::mt19937_64 &random);

} // namespace vetchpost
