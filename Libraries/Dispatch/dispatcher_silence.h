// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// A dispatcher is silent after this many consecutive requests that it did not answer in time.
constexpr int timeoutsUntilSilent = 2;
/// How long a silent dispatcher is not asked. Doubles with each further request that it does not answer, up to longestSilencePause.
constexpr duration firstSilencePause(1000);
constexpr duration longestSilencePause(4000);

/// Whether a dispatcher has answered an asking daemon lately.
struct dispatcher_silence
{
    /// Consecutive requests without an answer in time.
    int timeouts = 0;
    /// Set while the dispatcher is silent.
    duration pause{};
    /// When the dispatcher became silent, and when the next request may be sent; valid while it is silent.
    instant since;
    instant nextRequest;
};

inline bool isSilent(const dispatcher_silence &silence)
{
    return silence.timeouts >= timeoutsUntilSilent;
}

/// Returns whether the dispatcher may be asked now. A silent one is asked by a single request after each pause: the caller must ask it if
/// this returns true.
bool mayAsk(dispatcher_silence &silence, instant now);
/// Records that the dispatcher did not answer in time to a request that was sent at \a asked. Returns whether it has become silent.
bool recordTimeout(dispatcher_silence &silence, instant asked, instant now);
/// Records an answer in time. Returns whether the dispatcher was silent before.
bool recordAnswer(dispatcher_silence &silence);

} // namespace vetchpost
