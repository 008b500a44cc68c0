// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace vetchpost {

/// What the thread of a connection does.
enum class connection_phase {
    /// Waits for the first byte of a request.
    idle,
    /// Reads the head of a request.
    head,
    /// Waits for the body of a request.
    body,
    /// Handles a request, or sends its response.
    handling,
    /// Discards what the client still sends after the last response.
    closing
};

/// A connection, as far as it takes part in the decision which one is closed to make room.
struct connection_state
{
    connection_phase phase = connection_phase::idle;
    /// Whether a request was handled on it before.
    bool hasServed = false;
    /// The time since the phase began; in connection_phase::body, since the last bytes arrived.
    duration waiting{};
};

/// Returns the index of the connection that is closed for a new one; nothing if all are in use.
std::optional<std::size_t> connectionToClose(const std::vector<connection_state> &connections);

} // namespace vetchpost
