// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace vetchpost {

/// The largest head of a response, in bytes. Interim responses before it and blank lines count too.
constexpr std::size_t maximumHeadSize = 32768;

/// Incremental decoder of the head of an HTTP response, which skips interim responses. Unlike POCO's, it never waits for the peer, and
/// bytes that are no head end it after maximumHeadSize.
class response_head_decoder
{
public:
    enum class state {
        needs_more,
        complete,
        /// The bytes are no head of a response, or too many.
        invalid
    };

    /// Decodes received bytes and returns the new state. Bytes after the head are kept for takeRest().
    state consume(std::string_view bytes);
    /// Handles the close of the connection by the peer: a head that is incomplete becomes invalid.
    state consumeEnd();
    /// Marks an incomplete head as invalid because of \a why.
    void fail(const std::string &why);
    state current() const;
    /// The complete head.
    const Poco::Net::HTTPResponse &response() const;
    /// Returns the bytes that were received after the head, which begin the body.
    std::string takeRest();
    /// Why the head is invalid.
    const std::string &problem() const;

private:
    void skipBlankLines();
    /// Whether the bytes so far can begin a status line.
    bool mayBeHead() const;
    /// The position after the blank line that ends the first head; npos if there is none yet.
    std::size_t findEnd();
    void parse(std::size_t end);

    state m_state = state::needs_more;
    std::string m_bytes;
    /// Where the line begins that has not been received completely.
    std::size_t m_lineStart = 0;
    /// Up to where the end of that line was searched for.
    std::size_t m_lineEndSearched = 0;
    bool m_hasStatusLine = false;
    /// Bytes of interim responses and of blank lines before the status line.
    std::size_t m_skippedBytes = 0;
    Poco::Net::HTTPResponse m_response;
    std::string m_problem;
};

} // namespace vetchpost
