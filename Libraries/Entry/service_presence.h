// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>

namespace vetchpost {

/// When the key-value service last answered, and its last absence.
struct service_presence
{
    instant lastAnswer;
    bool isReachable = true;
    /// How long the last absence was ...
    duration absence{};
    /// ... and when it ended; nothing before the first.
    std::optional<instant> absenceEnd;
};

/// Notes whether a call was answered. True where that is otherwise than with the call before.
bool noteCall(service_presence &presence, bool hasAnswered, instant now);
/// How long the service was away before its present answers; nothing where that absence ended \a remembered ago or earlier.
duration absenceBefore(const service_presence &presence, duration remembered, instant now);

} // namespace vetchpost
