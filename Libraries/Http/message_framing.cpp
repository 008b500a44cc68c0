// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/message_framing.h"

#include "Libraries/Http/head_syntax.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <vector>

namespace vetchpost {

namespace {

/// The length that a Content-Length states; nothing if it is not a plain decimal number.
std::optional<std::uint64_t> bodyLength(const std::string &text)
{
    constexpr std::size_t maximumDigits = 18;
    const bool isNumber = !text.empty() && text.size() <= maximumDigits
        && std::all_of(text.begin(), text.end(), [](char character) { return character >= '0' && character <= '9'; });
    return isNumber ? std::optional<std::uint64_t>(Poco::NumberParser::parseUnsigned64(text)) : std::nullopt;
}

/// Returns the decoder that the framing fields of a message determine, or \a unstated without such fields. Returns nothing and sets
/// \a lastReason to \a kind if they don't determine unambiguously where the body ends.
std::optional<body_decoder>
decoderForFields(const Poco::Net::HTTPMessage &message, const body_decoder &unstated, error_kind kind, reason &lastReason)
{
    std::vector<std::string> lengths;
    std::vector<std::string> encodings;
    for (const auto &[name, value] : message) {
        if (Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0) {
            lengths.push_back(value);
        } else if (Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0) {
            encodings.push_back(value);
        }
    }
    const auto fail = [&](const char *text) {
        lastReason = {kind, text};
        return std::nullopt;
    };
    if (!lengths.empty() && !encodings.empty()) {
        return fail("a message must not have both Content-Length and Transfer-Encoding");
    }
    if (!encodings.empty()) {
        const bool isChunked = encodings.size() == 1 && Poco::icompare(encodings.front(), std::string("chunked")) == 0;
        if (!isChunked || message.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1) {
            return fail("the only Transfer-Encoding of a message is chunked, in HTTP/1.1");
        }
        return body_decoder(body_framing::chunked);
    }
    if (lengths.empty()) {
        return unstated;
    }
    const auto length = bodyLength(lengths.front());
    const bool isUnique = std::all_of(lengths.begin(), lengths.end(), [&](const std::string &other) { return other == lengths.front(); });
    if (!length || !isUnique) {
        return fail("the Content-Length is not one decimal number");
    }
    return body_decoder(body_framing::length, *length);
}

} // namespace

std::optional<body_decoder> decoderForRequest(const Poco::Net::HTTPRequest &request, reason &lastReason)
{
    if (!std::all_of(request.begin(), request.end(), [](const auto &header) { return isToken(header.first); })) {
        lastReason = {error_kind::malformed_request, "a header has an invalid name"};
        return std::nullopt;
    }
    return decoderForFields(request, body_decoder(body_framing::none), error_kind::malformed_request, lastReason);
}

std::optional<body_decoder>
decoderForResponse(const Poco::Net::HTTPResponse &response, const std::string &method, written_request written, reason &lastReason)
{
    const bool hasNone = method == "HEAD" || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNone) {
        return body_decoder(body_framing::none);
    }
    body_decoder untilClose(body_framing::until_close);
    if (written == written_request::partial) {
        // A socket reports a reset once. The write has taken that report, so that the reader would meet an orderly end.
        untilClose.fail();
    }
    auto decoder = decoderForFields(response, untilClose, error_kind::backend_lost, lastReason);
    if (!decoder) {
        lastReason.text = "the response has an invalid head: " + lastReason.text;
    }
    return decoder;
}

} // namespace vetchpost
