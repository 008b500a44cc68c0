// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/body_framing.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A chunk of 16^7 bytes is far beyond any answer that is taken.
constexpr int maximumSizeDigits = 7;
constexpr std::uint64_t hexadecimal = 16;

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
    , m_left(framing == body_framing::length ? length : 0)
{
    if (framing == body_framing::none || (framing == body_framing::length && length == 0)) {
        m_state = state::complete;
    }
}

body_decoder::state body_decoder::take(std::string_view bytes, std::string &body)
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
        const auto taken = std::min<std::uint64_t>(m_left, bytes.size());
        body.append(bytes.substr(0, taken));
        m_left -= taken;
        m_hasSurplus = taken < bytes.size();
        m_state = m_left == 0 ? state::complete : state::needs_more;
    } else {
        takeChunked(bytes, body);
    }
    return m_state;
}

body_decoder::state body_decoder::takeEnd()
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

bool body_decoder::hasSurplus() const
{
    return m_hasSurplus;
}

void body_decoder::fail()
{
    m_state = state::broken;
}

void body_decoder::takeChunked(std::string_view bytes, std::string &body)
{
    while (!bytes.empty() && m_state == state::needs_more) {
        if (m_part == chunk_part::data) {
            const auto taken = std::min<std::uint64_t>(m_left, bytes.size());
            body.append(bytes.substr(0, taken));
            bytes.remove_prefix(taken);
            m_left -= taken;
            m_part = m_left == 0 ? chunk_part::data_end : chunk_part::data;
        } else {
            takeChunkByte(bytes.front());
            bytes.remove_prefix(1);
        }
    }
    m_hasSurplus = m_state == state::complete && !bytes.empty();
}

void body_decoder::takeSizeByte(char byte)
{
    if (const auto digit = hexDigit(byte)) {
        if (++m_sizeDigits > maximumSizeDigits) {
            fail();
            return;
        }
        m_left = m_left * hexadecimal + *digit;
    } else if (m_sizeDigits > 0 && byte == '\r') {
        m_part = chunk_part::size_end;
    } else if (m_sizeDigits > 0 && (byte == ';' || byte == ' ' || byte == '\t')) {
        m_part = chunk_part::extension;
    } else {
        fail();
    }
}

void body_decoder::takeChunkByte(char byte)
{
    switch (m_part) {
    case chunk_part::size:
        takeSizeByte(byte);
        return;
    case chunk_part::extension:
        m_part = byte == '\r' ? chunk_part::size_end : chunk_part::extension;
        return;
    case chunk_part::size_end:
        m_part = m_left == 0 ? chunk_part::trailer : chunk_part::data;
        m_sizeDigits = 0;
        break;
    case chunk_part::data_end:
        m_part = chunk_part::data_end_feed;
        if (byte != '\r') {
            fail();
        }
        return;
    case chunk_part::data_end_feed:
        m_part = chunk_part::size;
        break;
    case chunk_part::trailer:
        m_part = byte == '\r' ? chunk_part::trailer_end : chunk_part::trailer_line;
        return;
    case chunk_part::trailer_line:
        m_part = byte == '\n' ? chunk_part::trailer : chunk_part::trailer_line;
        return;
    case chunk_part::trailer_end:
        m_state = state::complete;
        break;
    case chunk_part::data:
        return;
    }
    if (byte != '\n') {
        fail();
    }
}

} // namespace vetchpost
