// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/event_splitter.h"

#include <algorithm>

namespace vetchpost {

namespace {

constexpr std::string_view idField = "id:";

} // namespace

int event_splitter::extractEvents(std::string_view bytes, std::string &events)
{
    m_partial.append(bytes);
    std::size_t start = 0;
    int count = 0;
    for (auto end = eventEnd(start); end != std::string::npos; end = eventEnd(start)) {
        const auto event = std::string_view(m_partial).substr(start, end - start);
        m_bytesWithoutId = updateLastId(event) ? 0 : m_bytesWithoutId + event.size();
        events.append(event);
        start = end;
        ++count;
    }
    m_partial.erase(0, start);
    m_lineStart -= start;
    m_searched -= start;
    return count;
}

std::size_t event_splitter::eventEnd(std::size_t start)
{
    m_lineStart = std::max(m_lineStart, start);
    m_searched = std::max(m_searched, start);
    for (;;) {
        const auto lineEnd = m_partial.find('\n', m_searched);
        if (lineEnd == std::string::npos) {
            m_searched = m_partial.size();
            return lineEnd;
        }
        const auto line = std::string_view(m_partial).substr(m_lineStart, lineEnd - m_lineStart);
        m_lineStart = lineEnd + 1;
        m_searched = m_lineStart;
        if (line.empty() || line == "\r") {
            return m_lineStart;
        }
    }
}

const std::string &event_splitter::lastId() const
{
    return m_lastId;
}

bool event_splitter::hasPartial() const
{
    return !m_partial.empty();
}

bool event_splitter::isOverlong() const
{
    return m_partial.size() > maximumEventSize || (!m_lastId.empty() && m_bytesWithoutId > maximumEventSize);
}

void event_splitter::discardPartial()
{
    m_partial = {};
    m_lineStart = 0;
    m_searched = 0;
    m_bytesWithoutId = 0;
}

bool event_splitter::updateLastId(std::string_view event)
{
    bool hasId = false;
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
        hasId = true;
    }
    return hasId;
}

} // namespace vetchpost
