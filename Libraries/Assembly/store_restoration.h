// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/coordination_term.h"

namespace vetchpost {

/// What a daemon knows of the key-value service's last return from an older copy.
struct store_restoration
{
    store_era era;
    /// When this daemon learned of the present era; nothing if the service did not come back since the first start of the system.
    std::optional<instant> since;
};

/// Records an era that the service has named; an earlier one than known changes nothing. A daemon that starts cannot tell how long ago the
/// era began, unless this is the first start of the whole system.
inline void recordEra(store_restoration &restoration, store_era era, bool isFirstStart, instant now)
{
    if (era <= restoration.era) {
        return;
    }
    const bool isFirst = restoration.era == store_era();
    restoration.era = era;
    if (!(isFirst && isFirstStart)) {
        restoration.since = now;
    }
}

/// Returns how long a coordinator waits before it plans. The predecessor may have lost its lease with the copy without knowing, and sends
/// orders until its end; the replicas' entries may be those of the copy, until the replicas have written them again within \a rewriteTime.
inline duration planningDelay(duration leaseTime, duration orderTimeout, duration rewriteTime)
{
    return std::max(leaseTime + leaseMargin + orderTimeout, rewriteTime);
}

/// Whether what the service holds has settled since it came back.
inline bool hasSettled(const store_restoration &restoration, duration delay, instant now)
{
    return !restoration.since || now - *restoration.since >= delay;
}

} // namespace vetchpost
