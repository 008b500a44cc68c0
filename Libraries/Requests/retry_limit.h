// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/retry_budget.h"

#include <optional>

namespace vetchpost {

/// The number of retries that all daemons together may send within a window: share x first attempts + slack.
struct retry_limit
{
    /// Retries per first attempt.
    double share = 0;
    /// Retries allowed in addition to the share.
    int slack = 0;
    /// The length of the windows in which retries are counted.
    duration window{};
};

/// One daemon's part of a retry_limit. It holds a part of the slack only after a whole window: an earlier process of the same daemon, or
/// daemons that this one did not know of, may have used up that part within the current window.
struct limited_retries
{
    retry_budget budget{0, 0, 0};
    /// What the first attempts have added before the part of the slack is granted.
    double earned = 0;
    bool isSlackGranted = false;
    bool isCountKnown = false;
};

/// Returns how many retries one daemon may accumulate in its budget, as its part of the \a slack of all \a daemons. \a daemons is empty if
/// their number is unknown.
double maxRetriesPerDaemon(int slack, std::optional<int> daemons);

/// Adjusts a daemon's part to the number of daemons that now share the limit, and grants it its part of the slack once \a heldFor is a
/// window: the time since which a number has been known without a gap, or, while \a daemons is empty, the age of the process. Call it
/// before each use of the budget.
void updateRetries(limited_retries &retries, const retry_limit &limit, std::optional<int> daemons, duration heldFor);
/// Adds the share of a new request.
void recordFirstAttempt(limited_retries &retries);

} // namespace vetchpost
