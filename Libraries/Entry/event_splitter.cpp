// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/event_splitter.h"

namespace vetchpost {

namespace {

constexpr std::string_view idField = "id:";

/// The position after the blank line that ends the first complete event; npos if there is no complete event.
std::size_t eventEnd(std::string_view text)
{
    std::size_t lineStart = 0;
    for (;;) {
        const auto lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return lineEnd;
        }
        const auto line = text.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 1;
        if (line.empty() || line == "\r") {
            return lineStart;
        }
    }
}

} // namespace

int event_splitter::extractEvents(std::string_view bytes, std::string &events)
{
    m_partial.append(bytes);
    std::string_view rest = m_partial;
    int count = 0;
    for (auto end = eventEnd(rest); end != std::string_view::npos; end = eventEnd(rest)) {
        updateLastId(rest.substr(0, end));
        events.append(rest.substr(0, end));
        rest.remove_prefix(end);
        ++count;
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return count;
}

const std::string &event_splitter::lastId() const
{
    return m_lastId;
}

bool event_splitter::hasPartial() const
{
    return !m_partial.empty();
}

void event_splitter::discardPartial()
{
    m_partial.clear();
}

void event_splitter::updateLastId(std::string_view event)
{
    for (std::size_t start = 0; start < event.size();) {
        auto end = event.find('\n', start);
        end = end == std::string_view::npos ? event.size() : end;
        auto line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(idField)) {
            continue;
        }
        line.remove_prefix(idField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        m_lastId = line;
    }
}

} // namespace vetchpost
