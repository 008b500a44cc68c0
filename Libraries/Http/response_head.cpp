// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/response_head.h"

#include "Libraries/Http/head_syntax.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <sstream>

namespace vetchpost {

namespace {

constexpr std::string_view protocolName = "HTTP/";

bool isLineBreak(char byte)
{
    return byte == '\r' || byte == '\n';
}

/// Whether a response with this status is followed by the one to the request.
bool isInterim(int status)
{
    constexpr int firstFinal = 200;
    return status < firstFinal;
}

} // namespace

response_head_decoder::state response_head_decoder::consume(std::string_view bytes)
{
    if (m_state != state::needs_more) {
        m_bytes.append(bytes);
        return m_state;
    }
    m_bytes.append(bytes);
    while (m_state == state::needs_more) {
        skipBlankLines();
        const auto end = findEnd();
        if (end == std::string::npos) {
            break;
        }
        parse(end);
    }
    if (m_state == state::needs_more && !mayBeHead()) {
        fail("the bytes are no HTTP response");
    } else if (m_state == state::needs_more && m_skippedBytes + m_bytes.size() > maximumHeadSize) {
        fail("it is too large");
    }
    return m_state;
}

response_head_decoder::state response_head_decoder::consumeEnd()
{
    fail("the connection was closed");
    return m_state;
}

void response_head_decoder::fail(const std::string &why)
{
    if (m_state == state::needs_more) {
        m_state = state::invalid;
        m_problem = why;
        m_bytes = {};
    }
}

response_head_decoder::state response_head_decoder::current() const
{
    return m_state;
}

const Poco::Net::HTTPResponse &response_head_decoder::response() const
{
    return m_response;
}

std::string response_head_decoder::takeRest()
{
    return std::exchange(m_bytes, {});
}

const std::string &response_head_decoder::problem() const
{
    return m_problem;
}

/// Drops blank lines before the status line.
void response_head_decoder::skipBlankLines()
{
    if (m_hasStatusLine || m_lineEndSearched > 0) {
        return;
    }
    const auto start = std::find_if_not(m_bytes.begin(), m_bytes.end(), isLineBreak);
    m_skippedBytes += static_cast<std::size_t>(start - m_bytes.begin());
    m_bytes.erase(m_bytes.begin(), start);
}

bool response_head_decoder::mayBeHead() const
{
    const auto text = std::string_view(m_bytes).substr(0, protocolName.size());
    return text == protocolName.substr(0, text.size());
}

std::size_t response_head_decoder::findEnd()
{
    for (;;) {
        const auto lineEnd = m_bytes.find('\n', m_lineEndSearched);
        if (lineEnd == std::string::npos) {
            m_lineEndSearched = m_bytes.size();
            return lineEnd;
        }
        const bool isBlank = std::all_of(m_bytes.begin() + static_cast<std::ptrdiff_t>(m_lineStart),
                                         m_bytes.begin() + static_cast<std::ptrdiff_t>(lineEnd),
                                         isLineBreak);
        m_lineStart = lineEnd + 1;
        m_lineEndSearched = m_lineStart;
        m_hasStatusLine = true;
        if (isBlank) {
            return m_lineStart;
        }
    }
}

void response_head_decoder::parse(std::size_t end)
{
    if (m_skippedBytes + end > maximumHeadSize) {
        fail("it is too large");
        return;
    }
    // POCO skips the lines that it cannot read, so that a field of the framing may get lost.
    if (const auto problem = responseHeadProblem(std::string_view(m_bytes).substr(0, end)); !problem.empty()) {
        fail(std::string(problem));
        return;
    }
    try {
        std::istringstream text(m_bytes.substr(0, end));
        m_response = Poco::Net::HTTPResponse();
        m_response.read(text);
    } catch (const Poco::Exception &error) {
        fail(error.displayText());
        return;
    }
    m_bytes.erase(0, end);
    m_lineStart = 0;
    m_lineEndSearched = 0;
    m_hasStatusLine = false;
    if (isInterim(m_response.getStatus())) {
        m_skippedBytes += end;
    } else {
        m_state = state::complete;
    }
}

} // namespace vetchpost
