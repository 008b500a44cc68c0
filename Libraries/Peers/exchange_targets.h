// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Peers/exchange.h"

#include <random>
#include <vector>

namespace vetchpost {

/// A peer to exchange with, and which part of the state to send to it.
struct peer_address
{
    endpoint address;
    exchange_scope scope = exchange_scope::data_centre;
};

/// The peers that a round of exchanges chooses from.
struct peer_candidates
{
    /// The live daemons of this data centre, without this one.
    std::vector<endpoint> local;
    /// The daemons of other data centres, one list per data centre.
    std::vector<std::vector<endpoint>> remote;
    /// Seed peers of the settings, and peers that seem dead. They are called now and then, so that the two sides of a network partition
    /// find each other again after it has healed.
    std::vector<endpoint> lost;
    /// Whether this daemon is the coordinator of its data centre, which calls the other data centres in every round.
    bool isCoordinator = false;
};

/// Chooses the peers for one round at random: a live daemon of this data centre; a lost peer, in some rounds, or in every round while no
/// other daemon of this data centre is live; and a daemon of each other data centre, in every round for the coordinator and in some rounds
/// for other daemons.
std::vector<peer_address> chooseExchangeTargets(const peer_candidates &candidates, std::mt19937_64 &random);

} // namespace vetchpost
