// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/head_syntax.h"

#include <algorithm>

namespace vetchpost {

namespace {

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// Whether the text has no control characters but tabs. Bytes above 127 are allowed, as in RFC 9110's obs-text.
bool isFieldText(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::all_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return character == '\t' || (byte >= firstPrintable && byte != deleteCharacter);
    });
}

/// Removes the first line from \a text and returns it without its line end.
std::string_view takeLine(std::string_view &text)
{
    const auto end = std::min(text.find('\n'), text.size());
    auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::string_view statusLineProblem(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusSize = 3;
    if (!line.starts_with(protocol) || line.size() == protocol.size() || !isDigit(line[protocol.size()])) {
        return "its version is not HTTP/1.x";
    }
    line.remove_prefix(protocol.size() + 1);
    const auto status = line.substr(std::min<std::size_t>(1, line.size()), statusSize);
    const bool isNumber = line.starts_with(' ') && status.size() == statusSize && std::all_of(status.begin(), status.end(), isDigit);
    if (!isNumber || status.front() < '1' || status.front() > '5') {
        return "its status is not a number from 100 to 599";
    }
    if (status == "101") {
        return "its status switches protocols";
    }
    const auto reasonPhrase = line.substr(1 + statusSize);
    if (!reasonPhrase.empty() && !reasonPhrase.starts_with(' ')) {
        return "its status is not a number from 100 to 599";
    }
    return isFieldText(reasonPhrase) ? "" : "its reason phrase has a control character";
}

std::string_view fieldLineProblem(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return "a line has no colon";
    }
    if (!isToken(line.substr(0, colon))) {
        return "the name of a field is no token";
    }
    return isFieldText(line.substr(colon + 1)) ? "" : "the value of a field has a control character";
}

} // namespace

bool isToken(std::string_view text)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const auto isTokenCharacter = [&](char character) {
        return isDigit(character) || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || punctuation.find(character) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

std::string_view responseHeadProblem(std::string_view head)
{
    auto problem = statusLineProblem(takeLine(head));
    while (problem.empty() && !head.empty()) {
        const auto line = takeLine(head);
        // The blank line ends the head.
        if (!line.empty()) {
            problem = fieldLineProblem(line);
        }
    }
    return problem;
}

} // namespace vetchpost
