// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"

namespace vetchpost {

/// Outcome of a connection attempt to an address.
enum class port_probe_result {
    accepts,
    /// No process listens on the port.
    refuses,
    /// The attempt timed out, or failed for another reason, such as a missing route.
    silent
};

/// Connects to an address, waits for at most \a timeout and closes the connection immediately.
port_probe_result probePort(const endpoint &address, duration timeout);

} // namespace vetchpost
