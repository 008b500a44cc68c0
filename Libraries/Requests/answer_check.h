// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vetchpost {

/// One line of an engine's streamed answer.
struct answer_piece
{
    request_id request;
    group_id group;
    generation sender;
    std::uint64_t index = 0;
    std::string text;
    /// Why the answer ended: "stop" or "length"; empty while it goes on.
    std::string finishReason;
    /// The end marker after the last piece.
    bool isEndMarker = false;
};

/// How far an answer has come to its caller.
struct answer_progress
{
    request_id request;
    /// Where the piece must come from; an empty group accepts any.
    group_id group;
    generation expected;
    std::uint64_t nextIndex = 0;
    bool isFinished = false;
    bool isComplete = false;
};

enum class piece_verdict {
    /// The next piece of this answer: to be delivered.
    deliver,
    /// Already delivered: to be dropped.
    duplicate,
    /// The end marker after a finished answer.
    complete,
    /// Of another request, group or generation: nothing of this connection can be trusted any more.
    foreign,
    /// Something is missing before it.
    gap
};

/// Judges one piece and takes it in.
piece_verdict takePiece(answer_progress &progress, const answer_piece &piece);

/// Reads one line of an engine's stream. Nothing for blank lines and comments; a line that cannot be read is foreign.
std::optional<answer_piece> answerPieceFrom(const std::string &line);

} // namespace vetchpost
