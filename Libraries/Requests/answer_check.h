// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vetchpost {

/// One parsed line of an engine's streamed answer.
struct answer_chunk
{
    request_id request;
    group_id group;
    generation sender;
    std::uint64_t index = 0;
    std::string text;
    /// Why the answer ended: "stop" or "length"; empty while it continues.
    std::string finishReason;
    /// Whether this is the end marker, which follows the last chunk.
    bool isEndMarker = false;
};

/// How much of an answer has been delivered to its client.
struct answer_progress
{
    request_id request;
    /// The group that must have sent the chunks; an empty group accepts any sender.
    group_id group;
    generation expected;
    std::uint64_t nextIndex = 0;
    bool isFinished = false;
    bool isComplete = false;
};

enum class chunk_verdict {
    /// The next chunk of this answer, to be delivered.
    deliver,
    /// A chunk that has been delivered already, to be dropped.
    duplicate,
    /// The end marker of a finished answer.
    complete,
    /// A chunk of another request, group or generation; no further data from this connection can be trusted.
    foreign,
    /// At least one chunk before this one is missing.
    gap
};

/// Checks one chunk against the progress of its answer, and updates the progress.
chunk_verdict checkChunk(answer_progress &progress, const answer_chunk &chunk);

/// Parses one line of an engine's stream. Returns nothing for blank lines and comments. For a malformed line it returns a chunk without
/// a request id, which checkChunk() reports as foreign.
std::optional<answer_chunk> answerChunkFrom(const std::string &line);

} // namespace vetchpost
