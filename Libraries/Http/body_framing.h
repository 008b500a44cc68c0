// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vetchpost {

/// How the end of an HTTP message body is told.
enum class body_framing { length, chunked, until_close, none };

/// Takes a message body out of its framing, and tells a whole body from one that broke off. POCO's chunked stream takes a connection that
/// closes between two chunks for the end of the body, so that it cannot be used where this matters.
class body_decoder
{
public:
    enum class state { needs_more, complete, broken };

    explicit body_decoder(body_framing framing, std::uint64_t length = 0);

    /// Takes in received bytes and appends the body's bytes to \a body.
    state take(std::string_view bytes, std::string &body);
    /// Takes in that the peer closed the connection.
    state takeEnd();
    state current() const;
    /// Bytes after the end of the body were received: they belong to no request.
    bool hasSurplus() const;

private:
    enum class chunk_part { size, extension, size_end, data, data_end, data_end_feed, trailer, trailer_line, trailer_end };

    void takeChunked(std::string_view bytes, std::string &body);
    void takeChunkByte(char byte);
    void takeSizeByte(char byte);
    void fail();

    body_framing m_framing;
    state m_state = state::needs_more;
    std::uint64_t m_left;
    chunk_part m_part = chunk_part::size;
    int m_sizeDigits = 0;
    bool m_hasSurplus = false;
};

} // namespace vetchpost
