// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Http/http_server.h"

#include <optional>
#include <string>

namespace vetchpost {

/// Writes a model's answer to the caller, either as a stream of server-sent events or as one body at the end.
class answer_sink
{
public:
    answer_sink(http_exchange &exchange, const caller_request &request, bool isStreamed);

    /// Appends one chunk of the answer, and writes it if the answer is streamed. Returns false if the caller has disconnected.
    bool deliver(const std::string &text, const std::string &finishReason);
    /// Sends the end marker of the stream, or the whole body. Returns false if the stream's caller has disconnected.
    bool complete();
    /// Sends the error that kept the answer from being completed, with the retry-after time if one is given. A stream that has begun
    /// gets the error as an event and ends without its end marker.
    void fail(const reason &why, std::optional<duration> retryAfter);
    /// Returns the text delivered so far.
    const std::string &text() const;
    /// Returns the answer so far as one chat completion object in JSON.
    std::string body() const;
    bool isStreamed() const;

private:
    http_exchange &m_exchange;
    const caller_request &m_request;
    bool m_isStreamed;
    /// The constant start of every event of the stream, formatted once.
    std::string m_eventStart;
    std::string m_event;
    bool m_hasBegun = false;
    std::uint64_t m_chunkCount = 0;
    std::string m_text;
    std::string m_finishReason;
};

} // namespace vetchpost
