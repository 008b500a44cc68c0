// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/body_framing.h"

#include <algorithm>
#include <limits>

namespace vetchpost {

namespace {

/// Limits a chunk to less than 16^7 bytes, far more than any accepted response has.
constexpr int maxSizeDigits = 7;
constexpr std::uint64_t hexadecimal = 16;
/// Limits the chunk extensions and trailers of a body, which are not counted as its bytes.
constexpr std::size_t maximumIgnoredBytes = 65536;

std::optional<std::uint64_t> hexDigit(char byte)
{
    constexpr std::uint64_t ten = 10;
    if (byte >= '0' && byte <= '9') {
        return static_cast<std::uint64_t>(byte - '0');
    }
    if (byte >= 'a' && byte <= 'f') {
        return static_cast<std::uint64_t>(byte - 'a') + ten;
    }
    if (byte >= 'A' && byte <= 'F') {
        return static_cast<std::uint64_t>(byte - 'A') + ten;
    }
    return std::nullopt;
}

} // namespace

body_decoder::body_decoder(body_framing framing, std::uint64_t length)
    : m_framing(framing)
    , m_remainingBytes(framing == body_framing::length ? length : 0)
{
    if (framing == body_framing::none || (framing == body_framing::length && length == 0)) {
        m_state = state::complete;
    }
}

body_decoder::state body_decoder::consume(std::string_view bytes, std::string &body)
{
    if (bytes.empty()) {
        return m_state;
    }
    if (m_state != state::needs_more) {
        m_hasSurplus = m_hasSurplus || m_state == state::complete;
        return m_state;
    }
    if (m_framing == body_framing::until_close) {
        body.append(bytes);
    } else if (m_framing == body_framing::length) {
        const auto count = std::min<std::uint64_t>(m_remainingBytes, bytes.size());
        body.append(bytes.substr(0, count));
        m_remainingBytes -= count;
        m_hasSurplus = count < bytes.size();
        m_state = m_remainingBytes == 0 ? state::complete : state::needs_more;
    } else {
        decodeChunked(bytes, body);
    }
    return m_state;
}

body_decoder::state body_decoder::consumeEnd()
{
    if (m_state == state::needs_more) {
        m_state = m_framing == body_framing::until_close ? state::complete : state::broken;
    }
    return m_state;
}

body_decoder::state body_decoder::current() const
{
    return m_state;
}

body_framing body_decoder::framing() const
{
    return m_framing;
}

bool body_decoder::hasSurplus() const
{
    return m_hasSurplus;
}

void body_decoder::fail()
{
    m_state = state::broken;
}

std::uint64_t body_decoder::readableBytes() const
{
    if (m_state != state::needs_more) {
        return 0;
    }
    if (m_framing == body_framing::until_close) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    const bool isInData = m_framing == body_framing::length || m_chunkState == chunk_state::data;
    return isInData ? m_remainingBytes : 1;
}

void body_decoder::decodeChunked(std::string_view bytes, std::string &body)
{
    while (!bytes.empty() && m_state == state::needs_more) {
        if (m_chunkState == chunk_state::data) {
            const auto count = std::min<std::uint64_t>(m_remainingBytes, bytes.size());
            body.append(bytes.substr(0, count));
            bytes.remove_prefix(count);
            m_remainingBytes -= count;
            m_chunkState = m_remainingBytes == 0 ? chunk_state::data_end : chunk_state::data;
        } else {
            decodeChunkByte(bytes.front());
            bytes.remove_prefix(1);
        }
    }
    m_hasSurplus = m_state == state::complete && !bytes.empty();
}

void body_decoder::decodeSizeByte(char byte)
{
    if (const auto digit = hexDigit(byte)) {
        if (++m_sizeDigits > maxSizeDigits) {
            fail();
            return;
        }
        m_remainingBytes = m_remainingBytes * hexadecimal + *digit;
    } else if (m_sizeDigits > 0 && byte == '\r') {
        m_chunkState = chunk_state::size_end;
    } else if (m_sizeDigits > 0 && (byte == ';' || byte == ' ' || byte == '\t')) {
        m_chunkState = chunk_state::extension;
    } else {
        fail();
    }
}

void body_decoder::countIgnoredByte()
{
    if (++m_ignoredBytes > maximumIgnoredBytes) {
        fail();
    }
}

void body_decoder::decodeChunkByte(char byte)
{
    switch (m_chunkState) {
    case chunk_state::size:
        decodeSizeByte(byte);
        return;
    case chunk_state::extension:
        m_chunkState = byte == '\r' ? chunk_state::size_end : chunk_state::extension;
        countIgnoredByte();
        return;
    case chunk_state::size_end:
        m_chunkState = m_remainingBytes == 0 ? chunk_state::trailer : chunk_state::data;
        m_sizeDigits = 0;
        break;
    case chunk_state::data_end:
        m_chunkState = chunk_state::data_end_line_feed;
        if (byte != '\r') {
            fail();
        }
        return;
    case chunk_state::data_end_line_feed:
        m_chunkState = chunk_state::size;
        break;
    case chunk_state::trailer:
        m_chunkState = byte == '\r' ? chunk_state::trailer_end : chunk_state::trailer_line;
        countIgnoredByte();
        return;
    case chunk_state::trailer_line:
        m_chunkState = byte == '\n' ? chunk_state::trailer : chunk_state::trailer_line;
        countIgnoredByte();
        return;
    case chunk_state::trailer_end:
        m_state = state::complete;
        break;
    case chunk_state::data:
        return;
    }
    if (byte != '\n') {
        fail();
    }
}

} // namespace vetchpost
