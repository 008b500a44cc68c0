// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/loss_watch.h"

namespace vetchpost {

namespace {

/// What was told so long ago was of something that has passed: a stalled group is found within a second, or its head gives up after five.
constexpr duration longestFinding(5000);

} // namespace

void noteTold(loss_watch &watch, const instance_id &head, instant now)
{
    std::erase_if(watch.toldAt, [&](const auto &told) { return now - told.second > longestFinding; });
    watch.toldAt.try_emplace(head, now);
}

std::optional<duration> noteFound(loss_watch &watch, const instance_id &head, instant now)
{
    const auto told = watch.toldAt.find(head);
    if (told == watch.toldAt.end()) {
        return std::nullopt;
    }
    const auto time = now - told->second;
    watch.toldAt.erase(told);
    return time <= longestFinding ? std::optional(time) : std::nullopt;
}

std::vector<duration> noteStandings(loss_watch &watch, const std::vector<model_standing> &standings, instant now)
{
    std::vector<duration> mended;
    for (const auto &standing : standings) {
        const bool isLacking = standing.serving < standing.wanted;
        const auto lacking = watch.lackingSince.find(standing.model);
        if (isLacking) {
            watch.lackingSince.try_emplace(standing.model, now);
        } else if (lacking != watch.lackingSince.end()) {
            mended.push_back(now - lacking->second);
            watch.lackingSince.erase(lacking);
        }
    }
    return mended;
}

} // namespace vetchpost
