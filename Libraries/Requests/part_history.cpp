// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/part_history.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Requests/part_suspects.h"

namespace vetchpost {

namespace {

std::uint64_t keyOf(const model_id &model, const prompt_part &part)
{
    return hashOf(part.value(), hashOf(model.value()));
}

} // namespace

void recordPartAnswer(part_history &history, const model_id &model, const prompt_part &part, instant begunAt, instant now)
{
    const auto key = keyOf(model, part);
    auto &known = history.begunAt[key];
    known = std::max(known, begunAt);
    history.order.emplace_back(now, key);
    while (history.order.size() > maxFamiliarParts || now - history.order.front().first >= familiarTime) {
        const auto [when, oldest] = history.order.front();
        const auto found = history.begunAt.find(oldest);
        // A later answer keeps the part.
        if (found != history.begunAt.end() && found->second <= when && oldest != key) {
            history.begunAt.erase(found);
        }
        history.order.pop_front();
    }
}

std::optional<instant> lastAnswerBegan(const part_history &history, const model_id &model, const prompt_part &part, instant now)
{
    const auto found = history.begunAt.find(keyOf(model, part));
    const bool isKnown = found != history.begunAt.end() && now - found->second < familiarTime;
    return isKnown ? std::optional(found->second) : std::nullopt;
}

int weightOfLoss(lost_stage stage, std::optional<duration> sinceAnswer)
{
    const bool isFamiliar = sinceAnswer && *sinceAnswer < familiarTime;
    if (sinceAnswer && *sinceAnswer < soundTime) {
        return 0;
    }
    switch (stage) {
    case lost_stage::begun:
        return isFamiliar ? familiarEnd : fullEnd;
    case lost_stage::waiting:
    case lost_stage::first_pieces:
        return isFamiliar ? 0 : weakEnd;
    case lost_stage::answering:
        break;
    }
    return 0;
}

} // namespace vetchpost
