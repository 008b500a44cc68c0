// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/answer_check.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

chunk_verdict checkChunk(answer_progress &progress, const answer_chunk &chunk)
{
    if (progress.isComplete) {
        // Data after the end marker belongs to no answer.
        return chunk_verdict::foreign;
    }
    if (chunk.isEndMarker) {
        progress.isComplete = progress.isFinished;
        return progress.isFinished ? chunk_verdict::complete : chunk_verdict::gap;
    }
    if (chunk.request != progress.request) {
        return chunk_verdict::foreign;
    }
    const bool isFromGroup
        = progress.group.isEmpty() || chunk.group.isEmpty() || (chunk.group == progress.group && chunk.sender == progress.expected);
    if (!isFromGroup) {
        return chunk_verdict::foreign;
    }
    if (chunk.index < progress.nextIndex) {
        return chunk_verdict::duplicate;
    }
    if (chunk.index > progress.nextIndex || progress.isFinished) {
        return chunk_verdict::gap;
    }
    ++progress.nextIndex;
    progress.isFinished = !chunk.finishReason.empty();
    return chunk_verdict::deliver;
}

std::optional<answer_chunk> answerChunkFrom(const std::string &line)
{
    constexpr std::string_view prefix = "data: ";
    constexpr std::string_view endMarker = "[DONE]";
    if (!line.starts_with(prefix)) {
        return std::nullopt;
    }
    answer_chunk chunk;
    const auto data = line.substr(prefix.size());
    if (data == endMarker) {
        chunk.isEndMarker = true;
        return chunk;
    }
    const auto json = parseJson(data);
    if (!json) {
        return chunk;
    }
    chunk.request = request_id(jsonString(*json, "request_id"));
    chunk.group = group_id(jsonString(*json, "group"));
    chunk.sender = generation(jsonNumber(*json, "generation"));
    chunk.index = jsonNumber(*json, "index");
    chunk.text = jsonString(*json, "text");
    chunk.finishReason = jsonString(*json, "finish_reason");
    return chunk;
}

} // namespace vetchpost
