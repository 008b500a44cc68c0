// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/loss_timer.h"

namespace vetchpost {

namespace {

/// Older reports concern an earlier stall: a stalled group is detected within a second, or its head gives up after five.
constexpr duration maxDetectionTime(5000);

} // namespace

void recordStallReport(loss_timer &timer, const instance_id &head, instant now)
{
    std::erase_if(timer.reportedAt, [&](const auto &reported) { return now - reported.second > maxDetectionTime; });
    timer.reportedAt.try_emplace(head, now);
}

std::optional<duration> recordDetection(loss_timer &timer, const instance_id &head, instant now)
{
    const auto reported = timer.reportedAt.find(head);
    if (reported == timer.reportedAt.end()) {
        return std::nullopt;
    }
    const auto time = now - reported->second;
    timer.reportedAt.erase(reported);
    return time <= maxDetectionTime ? std::optional(time) : std::nullopt;
}

std::vector<duration> recordGroupCounts(loss_timer &timer, const std::vector<model_group_counts> &models, instant now)
{
    std::vector<duration> repairTimes;
    for (const auto &counts : models) {
        const bool isShort = counts.serving < counts.wanted;
        const auto known = timer.shortSince.find(counts.model);
        if (isShort) {
            timer.shortSince.try_emplace(counts.model, now);
        } else if (known != timer.shortSince.end()) {
            repairTimes.push_back(now - known->second);
            timer.shortSince.erase(known);
        }
    }
    return repairTimes;
}

} // namespace vetchpost
