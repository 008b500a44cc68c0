// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"

namespace vetchpost {

/// What an address says to a new connection.
enum class port_answer {
    accepts,
    /// No process listens there.
    refuses,
    /// Nothing came in time, or no way leads there.
    silent
};

/// Connects, for at most \a timeout, and closes at once.
port_answer probePort(const endpoint &address, duration timeout);

} // namespace vetchpost
