// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/body_eviction.h"

#include <tuple>

namespace vetchpost {

namespace {

/// A client that sends at all fills a piece in this time, unless its link is very slow.
constexpr duration stallTime(300);
/// Room that is returned by complete requests usually comes within this time.
constexpr duration patience(200);

bool isCandidate(const held_body &body)
{
    return !body.isComplete && !body.isGivenUp && body.reserved > 0;
}

bool isStalled(const held_body &body)
{
    return isCandidate(body) && !body.waiting && body.still >= stallTime;
}

std::optional<std::size_t> largestStalled(const std::vector<held_body> &bodies, std::size_t requester)
{
    std::optional<std::size_t> largest;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        const auto &body = bodies[i];
        if (i != requester && isStalled(body)
            && (!largest || std::tie(body.reserved, body.still) > std::tie(bodies[*largest].reserved, bodies[*largest].still))) {
            largest = i;
        }
    }
    return largest;
}

std::optional<std::size_t> youngestAfter(const std::vector<held_body> &bodies, std::uint64_t number)
{
    std::optional<std::size_t> youngest;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        if (isCandidate(bodies[i]) && bodies[i].number > number && (!youngest || bodies[i].number > bodies[*youngest].number)) {
            youngest = i;
        }
    }
    return youngest;
}

} // namespace

// Bodies that stand still go first. If all of them grow, those that began first are completed: were none given up, all of them could wait
// for the room that the others hold.
std::optional<std::size_t> bodyToGiveUp(const std::vector<held_body> &bodies, std::size_t requester, std::size_t lacking)
{
    std::size_t returning = 0;
    for (const auto &body : bodies) {
        returning += body.isGivenUp ? body.reserved : 0;
    }
    if (returning >= lacking) {
        return std::nullopt;
    }
    if (const auto stalled = largestStalled(bodies, requester)) {
        return stalled;
    }
    const auto hasWaited = bodies[requester].waiting.value_or(duration()) >= patience;
    return hasWaited ? youngestAfter(bodies, bodies[requester].number) : std::nullopt;
}

} // namespace vetchpost
