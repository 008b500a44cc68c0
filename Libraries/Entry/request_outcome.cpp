// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/request_outcome.h"

#include "Libraries/Http/http_message.h"

#include <array>
#include <string>

namespace vetchpost {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(request_outcome::count)> outcomeNames
    = {"served", "late", "failed", "refused", "broken_off", "caller_left"};
/// Indexed by route_kind.
constexpr std::array<std::string_view, 3> kindNames = {"streaming", "idempotent", "non_idempotent"};

} // namespace

std::string_view requestOutcomeName(request_outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

request_outcome outcomeOfAnswer(const route &route, int status, std::optional<duration> timeToFirstEvent, duration longestPause)
{
    if (!isSuccessStatus(status)) {
        return request_outcome::failed;
    }
    const bool isFirstLate = route.objective.count() > 0 && timeToFirstEvent.value_or(duration()) > route.objective;
    const bool isPauseLong = route.pauseLimit.count() > 0 && longestPause > route.pauseLimit;
    return isFirstLate || isPauseLong ? request_outcome::late : request_outcome::served;
}

bool isServedAtFirstAttempt(const request_result &result)
{
    return result.outcome == request_outcome::served && result.attempts == 1;
}

request_metrics::request_metrics(metrics &counters)
{
    for (const auto kind : kindNames) {
        kind_metrics figures;
        for (const auto outcome : outcomeNames) {
            const std::vector<metric_label> labels = {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}};
            figures.timeToFirstEvent.push_back(counters.addTimeHistogram(
                "vetchpost_first_event_seconds", "From a request's arrival to the first event, or the plain answer, passed on.", labels));
            figures.longestPause.push_back(
                counters.addTimeHistogram("vetchpost_longest_pause_seconds", "Longest pause between two events of one answer.", labels));
            figures.elapsed.push_back(
                counters.addTimeHistogram("vetchpost_request_seconds", "From a request's arrival to its end.", labels));
        }
        m_kinds.push_back(std::move(figures));
    }
}

void request_metrics::record(route_kind kind, const request_result &result) const
{
    const auto &figures = m_kinds.at(static_cast<std::size_t>(kind));
    const auto outcome = static_cast<std::size_t>(result.outcome);
    figures.elapsed.at(outcome).observe(secondsOf(result.elapsed));
    if (result.timeToFirstEvent) {
        figures.timeToFirstEvent.at(outcome).observe(secondsOf(*result.timeToFirstEvent));
        figures.longestPause.at(outcome).observe(secondsOf(result.longestPause));
    }
}

} // namespace vetchpost
