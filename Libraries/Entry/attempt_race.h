// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/request_handler.h"

#include <optional>

namespace vetchpost {

/// The two connections of a request that was sent to a second replica, while neither has won.
struct request_handler::attempt_race
{
    race_cause cause;
    http_upstream &first;
    bool hasFirstHead;
    backend firstTarget;
    http_upstream second;
    backend secondTarget;
    instant secondSentAt;
    std::optional<upstream_head> firstHead;
    std::optional<upstream_head> secondHead;
    event_splitter secondEvents;
    /// Why a connection was closed; empty while it can go on.
    std::optional<attempt_outcome> firstFailure = {};
    std::optional<attempt_outcome> secondFailure = {};
};

} // namespace vetchpost
