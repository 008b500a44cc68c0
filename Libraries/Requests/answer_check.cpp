// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/answer_check.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

piece_verdict takePiece(answer_progress &progress, const answer_piece &piece)
{
    if (progress.isComplete) {
        // A byte after the end marker belongs to nobody.
        return piece_verdict::foreign;
    }
    if (piece.isEndMarker) {
        progress.isComplete = progress.isFinished;
        return progress.isFinished ? piece_verdict::complete : piece_verdict::gap;
    }
    if (piece.request != progress.request) {
        return piece_verdict::foreign;
    }
    const bool isOfGroup
        = progress.group.isEmpty() || piece.group.isEmpty() || (piece.group == progress.group && piece.sender == progress.expected);
    if (!isOfGroup) {
        return piece_verdict::foreign;
    }
    if (piece.index < progress.nextIndex) {
        return piece_verdict::duplicate;
    }
    if (piece.index > progress.nextIndex || progress.isFinished) {
        return piece_verdict::gap;
    }
    ++progress.nextIndex;
    progress.isFinished = !piece.finishReason.empty();
    return piece_verdict::deliver;
}

std::optional<answer_piece> answerPieceFrom(const std::string &line)
{
    constexpr std::string_view prefix = "data: ";
    constexpr std::string_view endMarker = "[DONE]";
    if (!line.starts_with(prefix)) {
        return std::nullopt;
    }
    answer_piece piece;
    const auto data = line.substr(prefix.size());
    if (data == endMarker) {
        piece.isEndMarker = true;
        return piece;
    }
    const auto json = parseJson(data);
    if (!json) {
        return piece;
    }
    piece.request = request_id(jsonString(*json, "request_id"));
    piece.group = group_id(jsonString(*json, "group"));
    piece.sender = generation(jsonNumber(*json, "generation"));
    piece.index = jsonNumber(*json, "index");
    piece.text = jsonString(*json, "text");
    piece.finishReason = jsonString(*json, "finish_reason");
    return piece;
}

} // namespace vetchpost
