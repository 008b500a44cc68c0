// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstdint>

namespace vetchpost {

/// How far the cause reaches for which a request is refused before it has run. What its client had better do depends on that alone.
enum class refusal_reach {
    /// This daemon lacks what others have: any of them can serve the request at once.
    this_daemon,
    /// This daemon has just started, and others may have with it: one or the other can serve the request in a moment.
    starting,
    /// The places that were tried are full: places become free all the time.
    full_places,
    /// The model has no place, or too few: its groups are being repaired.
    whole_model,
    /// All daemons lack the same.
    all_daemons,
    count
};

/// When a refused client had better come back: as long as the cause is likely to last, spread by \a draw so that those who are refused
/// together do not come back together.
duration comeBackAfter(refusal_reach reach, std::uint64_t draw);

/// The same where all places are shut for a time that is known: not before the first of them opens.
duration comeBackOnceOpen(duration opensAfter, std::uint64_t draw);

/// Who else lacks what this daemon lacks, a configuration that is known to be the newest: nobody else where another daemon told that it has
/// it (\a isLeftBehind), or where the key-value service answers; all where it does not. \a hasAny: this daemon has an old one.
refusal_reach reachOfStaleConfiguration(bool hasAny, bool isServiceAnswering, bool isLeftBehind);

} // namespace vetchpost
