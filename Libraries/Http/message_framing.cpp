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

std::optional<body_decoder> malformed(const char *text, reason &lastReason)
{
    lastReason = {error_kind::malformed_request, text};
    return std::nullopt;
}

} // namespace

std::optional<body_decoder> decoderForRequest(const Poco::Net::HTTPRequest &request, reason &lastReason)
{
    std::vector<std::string> lengths;
    std::vector<std::string> encodings;
    for (const auto &[name, value] : request) {
        if (!isToken(name)) {
            return malformed("a header has an invalid name", lastReason);
        }
        if (Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0) {
            lengths.push_back(value);
        } else if (Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0) {
            encodings.push_back(value);
        }
    }
    if (!lengths.empty() && !encodings.empty()) {
        return malformed("a request must not have both Content-Length and Transfer-Encoding", lastReason);
    }
    if (!encodings.empty()) {
        const bool isChunked = encodings.size() == 1 && Poco::icompare(encodings.front(), std::string("chunked")) == 0;
        if (!isChunked || request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1) {
            return malformed("the only Transfer-Encoding of a request is chunked, in HTTP/1.1", lastReason);
        }
        return body_decoder(body_framing::chunked);
    }
    if (lengths.empty()) {
        return body_decoder(body_framing::none);
    }
    const auto length = bodyLength(lengths.front());
    const bool isUnique = std::all_of(lengths.begin(), lengths.end(), [&](const std::string &other) { return other == lengths.front(); });
    if (!length || !isUnique) {
        return malformed("the Content-Length is not one decimal number", lastReason);
    }
    return body_decoder(body_framing::length, *length);
}

body_decoder decoderForResponse(const Poco::Net::HTTPResponse &response, const std::string &method, written_request written)
{
    constexpr int firstWithBody = 200;
    const bool hasNone = method == "HEAD" || response.getStatus() < firstWithBody
        || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        || response.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNone) {
        return body_decoder(body_framing::none);
    }
    if (response.getChunkedTransferEncoding()) {
        return body_decoder(body_framing::chunked);
    }
    if (response.hasContentLength()) {
        return body_decoder(body_framing::length, static_cast<std::uint64_t>(response.getContentLength64()));
    }
    body_decoder decoder(body_framing::until_close);
    if (written == written_request::partial) {
        // A socket reports a reset once. The write has taken that report, so that the reader would meet an orderly end.
        decoder.fail();
    }
    return decoder;
}

} // namespace vetchpost
