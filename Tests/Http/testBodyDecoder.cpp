// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/body_framing.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

using state = body_decoder::state;

struct decoded_body
{
    std::string body;
    state end = state::needs_more;
    bool hasSurplus = false;
};

/// Decodes the bytes in pieces of \a pieceSize bytes and then closes the connection, if \a closes is set.
decoded_body decode(body_decoder decoder, const std::string &bytes, std::size_t pieceSize, bool closes = true)
{
    decoded_body result;
    for (std::size_t i = 0; i < bytes.size(); i += pieceSize) {
        decoder.consume(std::string_view(bytes).substr(i, pieceSize), result.body);
    }
    result.end = closes ? decoder.consumeEnd() : decoder.current();
    result.hasSurplus = decoder.hasSurplus();
    return result;
}

std::string chunked(const std::vector<std::string> &chunks)
{
    std::string text;
    for (const auto &chunk : chunks) {
        text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return text + "0\r\n\r\n";
}

} // namespace

TEST_CASE("A chunked body is complete only with its last chunk, wherever the connection closes")
{
    const auto whole = chunked({"id: 1\n\n", "id: 2\n\n"});
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        CHECK(decode(body_decoder(body_framing::chunked), whole.substr(0, cut), 5).end == state::broken);
    }
    const auto decoded = decode(body_decoder(body_framing::chunked), whole, 5);
    CHECK(decoded.end == state::complete);
    CHECK(decoded.body == "id: 1\n\nid: 2\n\n");
}

TEST_CASE("A body with a length is complete only with all its bytes")
{
    CHECK(decode(body_decoder(body_framing::length, 5), "abcd", 2).end == state::broken);
    CHECK(decode(body_decoder(body_framing::length, 5), "abcde", 2, false).end == state::complete);
    const auto longer = decode(body_decoder(body_framing::length, 5), "abcdeHTTP/1.1 200", 64);
    CHECK(longer.body == "abcde");
    CHECK(longer.hasSurplus);
}

TEST_CASE("A body without a length ends with its connection, and an empty body is complete immediately")
{
    CHECK(decode(body_decoder(body_framing::until_close), "abc", 1).end == state::complete);
    CHECK(decode(body_decoder(body_framing::until_close), "abc", 1, false).end == state::needs_more);
    CHECK(body_decoder(body_framing::none).current() == state::complete);
    CHECK(body_decoder(body_framing::length, 0).current() == state::complete);
}

TEST_CASE("Invalid chunked encoding is rejected")
{
    for (const auto *text : {"zz\r\n", "5\nabcde", "5\r\nabcdeX\r\n0\r\n\r\n", "\r\n0\r\n\r\n", "fffffffff\r\n", "-1\r\n", "0\r\nX\rY"}) {
        CHECK(decode(body_decoder(body_framing::chunked), text, 3).end == state::broken);
    }
}

TEST_CASE("Chunk extensions and trailers are ignored")
{
    const auto decoded = decode(body_decoder(body_framing::chunked), "3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n", 2, false);
    CHECK(decoded.end == state::complete);
    CHECK(decoded.body == "abc");
}

TEST_CASE("A chunked body decodes to the same bytes however it is split into pieces", "[fuzz]")
{
    const auto property = [] {
        const auto chunks = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
        const auto pieceSize = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
        std::string body;
        for (const auto &chunk : chunks) {
            body += chunk;
        }
        const auto decoded = decode(body_decoder(body_framing::chunked), chunked(chunks), pieceSize, false);
        RC_ASSERT(decoded.end == state::complete);
        RC_ASSERT(decoded.body == body);
        RC_ASSERT(!decoded.hasSurplus);
    };
    checkProperty("chunks", 300, property);
}
