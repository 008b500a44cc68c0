// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace vetchpost {

/// The body of one request, as far as it takes part in the decision which body is given up to make room.
struct held_body
{
    /// Bodies that began to arrive later have higher numbers.
    std::uint64_t number = 0;
    /// Bytes that are free once the body is given up.
    std::size_t reserved = 0;
    /// The body has arrived completely.
    bool isComplete = false;
    /// The body has been given up, but its memory has not been returned yet.
    bool isGivenUp = false;
    /// How long the body has waited for room; nothing if it does not wait.
    std::optional<duration> waiting;
    /// The time since the body last grew by a piece worth mentioning.
    duration still{};
};

/// Returns the index of the body that is given up so that the one at \a requester gets room; nothing if it is better to wait. \a lacking is
/// the room that \a requester lacks, in bytes.
std::optional<std::size_t> bodyToGiveUp(const std::vector<held_body> &bodies, std::size_t requester, std::size_t lacking);

} // namespace vetchpost
