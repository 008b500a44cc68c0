// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

/// Whether it is this daemon that is in trouble when others do not answer it. A daemon whose link or processor is overloaded reaches
/// nobody; if it took that for their death it would close healthy groups one after the other.
namespace vetchpost {

/// A sound replica answers a sound daemon long before this, also where it is in another data centre.
constexpr duration referenceTimeout(100);
/// So many replicas in places of their own are asked, and so many must answer: one of them may itself be dead.
constexpr std::size_t referencesAsked = 3;
constexpr std::size_t referencesNeeded = 2;
/// A coordinator in trouble for so long hands over: half of the time that its successor would have to wait for its lease.
constexpr duration troubleBeforeHandOver(1000);
/// ... and leaves the coordination to others for so long.
constexpr duration restAfterTrouble(5000);

/// What a daemon's checks of itself found.
struct own_trouble
{
    /// When the last check began that found the daemon sound.
    std::optional<instant> soundAt;
    /// When the first check began that has failed since.
    std::optional<instant> failingSince;
};

/// Replicas to ask when \a silent does not answer: of other domains, each of a domain of its own, of as many data centres as there are.
/// None of those that are \a suspected, leave or are not listed. \a draw chooses among them.
std::vector<served_replica>
referencesFor(const replica_directory &directory, const served_replica &silent, const std::set<instance_id> &suspected, std::uint64_t draw);
/// How many of the references have to answer.
std::size_t answersNeeded(std::size_t references);
/// Takes in a check that began at \a began.
void noteCheck(own_trouble &trouble, instant began, bool isSound);
/// Whether the daemon was found sound after \a since.
bool wasSoundSince(const own_trouble &trouble, instant since);
/// Whether the daemon is in trouble, as far as it knows.
bool isInTrouble(const own_trouble &trouble);
/// Whether a coordinator should hand over.
bool mustHandOver(const own_trouble &trouble, instant now);

} // namespace vetchpost
