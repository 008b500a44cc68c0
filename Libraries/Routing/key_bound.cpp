// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/key_bound.h"

namespace vetchpost {

namespace {

/// Keys are refused a little before the bound, for the differences between two machines' clocks.
constexpr duration keyMargin(200);
/// Part of the bound after which clients are sent elsewhere.
constexpr double readyPart = 0.7;
/// The same for a daemon that is left behind: a balancer needs two seconds to notice, and the others have room for its clients.
constexpr double readyPartLeftBehind = 0.35;
/// A configuration that was told of is read within this time, a large one through a small instance's link too.
constexpr duration longestReading(1500);
/// What another daemon told longer ago says nothing of now.
constexpr duration longestSilence(2500);
/// Where the bound does not hold for a daemon that is cut off, keys are still not taken for ever without word from anybody.
constexpr duration longestKeyAge(std::chrono::minutes(10));

duration partOf(const key_bound &bound, double part)
{
    return std::chrono::duration_cast<duration>(bound.revocation * part);
}

bool isYounger(std::optional<instant> currentAt, duration most, instant now)
{
    return currentAt && now - *currentAt < most;
}

} // namespace

// Refusing everybody while the key-value service is away answers a load that the replicas could still serve: it is
// done only where the operator's settings ask for it.
bool areKeysUsable(const key_bound &bound, std::optional<instant> currentAt, instant now)
{
    return isYounger(currentAt, bound.isStrict ? bound.revocation - keyMargin : longestKeyAge, now);
}

// Daemons that the key-value service turns away, while it serves others, hear of a newer configuration and cannot read it. Until the bound
// was over they went on, then refused each client; these came back a second later, late, though their neighbours had room all the time.
bool isLeftBehind(const configuration_knowledge &known, instant now)
{
    if (!known.othersCurrentAt || now - *known.othersCurrentAt > longestSilence) {
        return false;
    }
    return !known.currentAt || *known.othersCurrentAt - *known.currentAt > longestReading;
}

bool areKeysUsableForAWhile(const key_bound &bound, const configuration_knowledge &known, instant now)
{
    const auto strictly = partOf(bound, isLeftBehind(known, now) ? readyPartLeftBehind : readyPart);
    return isYounger(known.currentAt, bound.isStrict ? strictly : longestKeyAge, now);
}

bool mustSendElsewhere(const key_bound &bound, const configuration_knowledge &known, instant now)
{
    return bound.isStrict && isLeftBehind(known, now) && !isYounger(known.currentAt, partOf(bound, readyPart), now);
}

} // namespace vetchpost
