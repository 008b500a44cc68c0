// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Base/metrics.h"
#include "Libraries/Routing/served_configuration.h"

#include <optional>
#include <string_view>
#include <vector>

namespace vetchpost {

/// What became of a request, as its client sees it.
enum class request_outcome {
    /// A success, in time.
    served,
    /// A success whose first event, or a later one, came after the time that its route allows.
    late,
    /// The replica's own failure.
    failed,
    refused,
    broken_off,
    caller_left,
    count
};

std::string_view requestOutcomeName(request_outcome outcome);

/// What is known of a request at its end.
struct request_end
{
    request_outcome outcome = request_outcome::refused;
    /// Until the first event, or the whole plain answer, was passed on.
    std::optional<duration> firstEvent;
    duration longestPause{};
    duration held{};
    /// Replicas that were tried.
    std::size_t tries = 0;
};

/// The outcome of an answer that was passed on whole.
request_outcome outcomeOfAnswer(const route &route, int status, std::optional<duration> firstEvent, duration longestPause);
/// Whether there is nothing to say of it but that it was served.
bool isOrdinary(const request_end &end);

/// The figures of how requests end. Safe to use from several threads.
class request_metrics
{
public:
    explicit request_metrics(metrics &counters);

    void note(route_kind kind, const request_end &end) const;

private:
    struct kind_metrics
    {
        /// By outcome.
        std::vector<histogram> firstEvent;
        std::vector<histogram> longestPause;
        std::vector<histogram> held;
    };

    /// By kind of route.
    std::vector<kind_metrics> m_kinds;
};

} // namespace vetchpost
