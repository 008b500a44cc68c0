// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <string_view>

namespace vetchpost {

/// Cuts a stream of server-sent events into whole events, so that an unfinished one is never passed on.
class event_splitter
{
public:
    /// Appends received bytes and moves all whole events to the end of \a events, unchanged. Returns how many there were.
    int take(std::string_view bytes, std::string &events);
    /// The id of the last whole event; empty before the first that has one.
    const std::string &lastId() const;
    /// Whether an unfinished event is waiting for its rest.
    bool hasPartial() const;
    /// Forgets the unfinished event: what follows comes from another replica.
    void dropPartial();

private:
    void noteId(std::string_view event);

    std::string m_partial;
    std::string m_lastId;
};

} // namespace vetchpost
