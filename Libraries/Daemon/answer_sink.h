// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/caller_request.h"
#include "Libraries/Http/http_server.h"

#include <optional>
#include <string>

namespace vetchpost {

/// Where the pieces of a model's answer go: a stream of events, or one body at the end.
class answer_sink
{
public:
    answer_sink(http_exchange &exchange, const caller_request &request, bool isStreamed);

    /// Passes on one piece; false once the caller has gone.
    bool deliver(const std::string &text, const std::string &finishReason);
    /// Sends the end of a whole answer; false once the caller has gone.
    bool complete();
    /// Says that there will be no whole answer, and when the caller had better ask again where that is known. A stream that has begun ends
    /// without its end marker.
    void fail(const reason &why, std::optional<duration> comeBackAfter);
    /// All text delivered so far.
    const std::string &text() const;
    /// The answer as one body.
    std::string body() const;
    bool isStreamed() const;

private:
    http_exchange &m_exchange;
    const caller_request &m_request;
    bool m_isStreamed;
    /// What every event of the stream begins with.
    std::string m_eventStart;
    std::string m_event;
    bool m_hasBegun = false;
    std::uint64_t m_pieces = 0;
    std::string m_text;
    std::string m_finishReason;
};

} // namespace vetchpost
