// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>

namespace vetchpost {

/// The largest event, in bytes, and the most bytes between two events with ids of a stream whose events have ids.
constexpr std::size_t maximumEventSize = 65536;

/// Splits a stream of server-sent events into complete events, so that an incomplete one is never relayed.
class event_splitter
{
public:
    /// Buffers the received bytes and appends all complete events, unchanged, to \a events. Returns the number of events appended.
    int extractEvents(std::string_view bytes, std::string &events);
    /// The id of the last complete event that has one; empty if there is none yet.
    const std::string &lastId() const;
    /// Whether the beginning of an incomplete event is buffered.
    bool hasPartial() const;
    /// Whether the stream has exceeded maximumEventSize, so that its bytes are no events and will never be.
    bool isOverlong() const;
    /// Discards a buffered incomplete event. Needed when the stream continues from another replica.
    void discardPartial();

private:
    /// The position after the blank line that ends the first complete event of m_partial at or after \a start; npos if there is none yet.
    std::size_t eventEnd(std::size_t start);
    /// Returns whether the event has an id.
    bool updateLastId(std::string_view event);

    std::string m_partial;
    /// Where the last line of m_partial begins, and up to where its end was searched for.
    std::size_t m_lineStart = 0;
    std::size_t m_searched = 0;
    /// Bytes of complete events since the last one with an id.
    std::size_t m_bytesWithoutId = 0;
    std::string m_lastId;
};

} // namespace vetchpost
