// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vetchpost {

/// How the end of an HTTP message body is determined.
enum class body_framing { length, chunked, until_close, none };

/// Incremental decoder of an HTTP message body, which distinguishes a complete body from a truncated one. POCO's chunked stream treats a
/// connection that closes between two chunks as the end of the body, so it cannot detect truncation.
class body_decoder
{
public:
    enum class state {
        needs_more,
        complete,
        /// The body was truncated, or its chunked encoding is invalid.
        broken
    };

    /// \a length is the body's length in bytes and is used with body_framing::length only.
    explicit body_decoder(body_framing framing, std::uint64_t length = 0);

    /// Decodes received bytes, appends the body's bytes to \a body and returns the new state.
    state consume(std::string_view bytes, std::string &body);
    /// Handles the close of the connection by the peer and returns the new state: a body without a length is then complete.
    state consumeEnd();
    /// Marks a body that has not been received completely as broken.
    void fail();
    /// The number of bytes that certainly belong to the body or to its chunked encoding; 0 once it is complete or broken. A reader that
    /// requests no more than these never reads into the next message.
    std::uint64_t readableBytes() const;
    state current() const;
    body_framing framing() const;
    /// Whether bytes after the end of the body were received, which belong to no request.
    bool hasSurplus() const;

private:
    enum class chunk_state { size, extension, size_end, data, data_end, data_end_line_feed, trailer, trailer_line, trailer_end };

    void decodeChunked(std::string_view bytes, std::string &body);
    void decodeChunkByte(char byte);
    void decodeSizeByte(char byte);
    void countIgnoredByte();

    body_framing m_framing;
    state m_state = state::needs_more;
    std::uint64_t m_remainingBytes;
    chunk_state m_chunkState = chunk_state::size;
    int m_sizeDigits = 0;
    /// Bytes of chunk extensions and trailers.
    std::size_t m_ignoredBytes = 0;
    bool m_hasSurplus = false;
};

} // namespace vetchpost
