// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/prompt_parts.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace vetchpost {

/// A part that was answered within this time is familiar.
constexpr duration familiarTime(60000);
/// A part that was answered within this time is sound: one that crashes replicas is not answered at all.
constexpr duration soundTime(2000);
/// At about 60 bytes each; a daemon with 40 requests per second and three parts each remembers a minute.
constexpr std::size_t maxFamiliarParts = 8192;
/// A replica that crashes by a part sends at most a few pieces of the answer in this time.
constexpr duration firstPiecesTime(250);

/// How far the answer to an attempt had come when it was lost with its replica.
enum class lost_stage {
    /// The replica had not begun to answer.
    waiting,
    /// It had begun and sent nothing of the answer.
    begun,
    /// It had sent its first pieces a moment ago.
    first_pieces,
    answering
};

/// The parts of prompts that this daemon's clients got whole answers to, and when the newest of these answers began.
struct part_history
{
    /// By the hash of the model and the part.
    std::unordered_map<std::uint64_t, instant> begunAt;
    /// In the order of the answers; a part that was answered again is listed again.
    std::deque<std::pair<instant, std::uint64_t>> order;
};

/// Records a whole answer to a request with the part, which its replica began at \a begunAt.
void recordPartAnswer(part_history &history, const model_id &model, const prompt_part &part, instant begunAt, instant now);
/// Returns when the newest answer that is remembered for the part began; nothing if there is none.
std::optional<instant> lastAnswerBegan(const part_history &history, const model_id &model, const prompt_part &part, instant now);
/// Returns how much the end of a replica speaks against a part (part_suspects.h), by how far the attempt had come and how long ago an
/// answer to the part began; 0 for not at all.
int weightOfLoss(lost_stage stage, std::optional<duration> sinceAnswer);

} // namespace vetchpost
