// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>

namespace vetchpost {

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
    /// Discards a buffered incomplete event. Needed when the stream continues from another replica.
    void discardPartial();

private:
    void updateLastId(std::string_view event);

    std::string m_partial;
    std::string m_lastId;
};

} // namespace vetchpost
