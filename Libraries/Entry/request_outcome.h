// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Base/metrics.h"
#include "Libraries/Routing/served_configuration.h"

#include <optional>
#include <string_view>
#include <vector>

namespace vetchpost {

/// The final outcome of a request as its client sees it.
enum class request_outcome {
    /// A successful answer within the time limits of its route.
    served,
    /// A successful answer whose first event, or the pause between two events, exceeded the route's time limit.
    late,
    /// An error status from a replica.
    failed,
    refused,
    broken_off,
    caller_left,
    count
};

/// The name of an outcome in the log and in metrics.
std::string_view requestOutcomeName(request_outcome outcome);

/// The outcome and the timings of a finished request.
struct request_result
{
    request_outcome outcome = request_outcome::refused;
    /// From the request's arrival until its first event, or its whole plain answer, was relayed; empty if nothing was relayed.
    std::optional<duration> timeToFirstEvent;
    duration longestPause{};
    /// From the request's arrival to its end.
    duration elapsed{};
    /// Number of replicas that were tried.
    std::size_t attempts = 0;
};

/// The outcome of an answer that was relayed completely, by its status and the time limits of its route.
request_outcome outcomeOfAnswer(const route &route, int status, std::optional<duration> timeToFirstEvent, duration longestPause);
/// Whether the request was served in time by the first replica, so that it needs no log line of its own.
bool isServedAtFirstAttempt(const request_result &result);

/// Histograms of finished requests by kind of route and outcome. Thread-safe.
class request_metrics
{
public:
    explicit request_metrics(metrics &counters);

    void record(route_kind kind, const request_result &result) const;

private:
    struct kind_metrics
    {
        /// Indexed by request_outcome.
        std::vector<histogram> timeToFirstEvent;
        std::vector<histogram> longestPause;
        std::vector<histogram> elapsed;
    };

    /// Indexed by route_kind.
    std::vector<kind_metrics> m_kinds;
};

} // namespace vetchpost
