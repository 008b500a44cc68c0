// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>

namespace vetchpost {

/// Outages with less time than this between them count as one, since replicas may not have written their entries again in between.
constexpr duration successiveOutages(2200);

/// When the key-value service last answered, and its last outage.
struct service_availability
{
    instant lastAnswer;
    /// Whether the last call was answered.
    bool isReachable = true;
    /// When the current or the last outage began: the last answer before it. Outages in quick succession count as one.
    instant outageBegin{};
    /// When the last completed outage ended; nothing if there was none.
    std::optional<instant> outageEnd;
};

/// Records whether a call was answered. Returns whether this differs from the previous call.
bool recordCall(service_availability &availability, bool hasAnswered, instant now);
/// Returns the duration of the current outage, or of the last one if it ended less than \a remembered ago; zero if there is neither.
duration outageDuration(const service_availability &availability, duration remembered, instant now);

} // namespace vetchpost
