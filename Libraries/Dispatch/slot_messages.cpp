// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_messages.h"

#include "Libraries/Base/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace vetchpost {

namespace {

/// A change of the messages that older daemons would misread gets the next number.
constexpr std::int64_t messageVersion = 1;

// The names are short because the messages are read and written for each request.
constexpr auto versionField = "v";
constexpr auto kindField = "k";
constexpr auto requestKind = "slot";
constexpr auto releaseKind = "free";
constexpr auto answerKind = "answer";
constexpr auto ticketField = "t";
constexpr auto serviceField = "s";
constexpr auto modelField = "m";
constexpr auto organisationField = "o";
constexpr auto priorityField = "p";
constexpr auto promptField = "in";
constexpr auto expectedField = "out";
constexpr auto untilLateField = "late";
constexpr auto timeLeftField = "left";
constexpr auto dataCentreField = "z";
constexpr auto excludedField = "x";
constexpr auto returnedField = "again";
constexpr auto releasesField = "r";
constexpr auto verdictField = "a";
constexpr auto headField = "h";
constexpr auto waitField = "w";

/// Longer times are clamped.
constexpr std::int64_t maxTime = 3600000;
constexpr std::int64_t maxTokens = 1000000;
constexpr std::int64_t maxPriority = 1000;
constexpr std::size_t maxExcluded = 32;

constexpr std::array<std::string_view, 4> verdictNames = {"granted", "waiting", "refused", "unknown_model"};
constexpr std::array<std::string_view, 4> endNames = {"done", "rejected", "silent", "lost"};

template <class Enumeration>
constexpr std::size_t indexOf(Enumeration value)
{
    return static_cast<std::size_t>(value);
}

template <class Enumeration, class Names>
std::optional<Enumeration> enumerationOf(const Names &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt : std::optional(static_cast<Enumeration>(found - names.begin()));
}

/// Returns the releases as "TICKET.END TICKET.END", without the first \a leftOut. Reading them as JSON arrays would take most of the time
/// for a message.
std::string releasesText(const std::vector<slot_release> &releases, std::size_t leftOut)
{
    std::string text;
    for (std::size_t i = leftOut; i < releases.size(); ++i) {
        text += fmt::format("{}{}.{}", text.empty() ? "" : " ", releases[i].ticket, indexOf(releases[i].end));
    }
    return text;
}

// The texts are composed directly: building a JSON value takes several times as long.
std::string headOf(const slot_request_message &message)
{
    const auto &request = message.request;
    std::string text = fmt::format(R"({{"{}":{},"{}":"{}","{}":{},"{}":{},"{}":{},"{}":{},"{}":{},"{}":{},"{}":{},"{}":{},"{}":{},"{}":{})",
                                   versionField,
                                   messageVersion,
                                   kindField,
                                   requestKind,
                                   ticketField,
                                   request.ticket,
                                   serviceField,
                                   quotedJson(request.service.value()),
                                   modelField,
                                   quotedJson(request.model.value()),
                                   organisationField,
                                   quotedJson(request.organisation.value()),
                                   priorityField,
                                   request.priority,
                                   promptField,
                                   request.promptTokens,
                                   expectedField,
                                   request.expectedTokens,
                                   untilLateField,
                                   request.untilLate.count(),
                                   timeLeftField,
                                   request.timeLeft.count(),
                                   dataCentreField,
                                   quotedJson(request.dataCentre.value()));
    if (request.hasReturned) {
        text += fmt::format(R"(,"{}":true)", returnedField);
    }
    std::string excluded;
    for (const auto &head : request.excluded) {
        excluded += excluded.empty() ? "" : ",";
        excluded += quotedJson(head.value());
    }
    return excluded.empty() ? text : text + fmt::format(R"(,"{}":[{}])", excludedField, excluded);
}

std::string headOf(const slot_release_message & /*message*/)
{
    return fmt::format(R"({{"{}":{},"{}":"{}")", versionField, messageVersion, kindField, releaseKind);
}

template <class Message>
std::optional<std::string> encodeWithReleases(const Message &message)
{
    const auto head = headOf(message);
    const auto &releases = message.releases;
    for (std::size_t leftOut = releases.size() - std::min(releases.size(), repeatedReleases);; ++leftOut) {
        const auto list = releasesText(releases, leftOut);
        auto text = head + (list.empty() ? "}" : fmt::format(R"(,"{}":"{}"}})", releasesField, list));
        if (text.size() <= maxSlotDatagram) {
            return text;
        }
        if (leftOut >= releases.size()) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> encodeBody(const slot_request_message &message)
{
    return encodeWithReleases(message);
}

std::optional<std::string> encodeBody(const slot_release_message &message)
{
    return encodeWithReleases(message);
}

std::optional<std::string> encodeBody(const slot_answer &answer)
{
    auto text = fmt::format(R"({{"{}":{},"{}":"{}","{}":{},"{}":"{}","{}":{},"{}":{}}})",
                            versionField,
                            messageVersion,
                            kindField,
                            answerKind,
                            ticketField,
                            answer.ticket,
                            verdictField,
                            slotVerdictName(answer.verdict),
                            headField,
                            quotedJson(answer.head.value()),
                            waitField,
                            answer.wait.count());
    return text.size() <= maxSlotDatagram ? std::optional(std::move(text)) : std::nullopt;
}

/// Returns a whole number clamped to a range; nothing if the member is missing or no number.
std::optional<std::int64_t> numberIn(const Json::Value &json, const char *name, std::int64_t minimum, std::int64_t maximum)
{
    const auto &value = json[name];
    if (!value.isNumeric()) {
        return std::nullopt;
    }
    const auto clamped = std::clamp(value.asDouble(), static_cast<double>(minimum), static_cast<double>(maximum));
    return static_cast<std::int64_t>(clamped);
}

std::optional<std::uint64_t> ticketOf(const Json::Value &value)
{
    return value.isUInt64() ? std::optional<std::uint64_t>(value.asUInt64()) : std::nullopt;
}

/// Reads a number from the beginning of \a text and removes it with the character \a after it, or to the end of the text.
std::optional<std::uint64_t> takeNumber(std::string_view &text, char after)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc() || (read.ptr != end && *read.ptr != after)) {
        return std::nullopt;
    }
    text.remove_prefix(std::min(text.size(), static_cast<std::size_t>(read.ptr - text.data()) + 1));
    return value;
}

std::optional<std::vector<slot_release>> decodeReleases(const Json::Value &json)
{
    std::vector<slot_release> releases;
    if (!json.isMember(releasesField)) {
        return releases;
    }
    const auto list = jsonString(json, releasesField);
    std::string_view rest = list;
    do {
        const auto ticket = takeNumber(rest, '.');
        const auto end = takeNumber(rest, ' ');
        if (!ticket || !end || *end >= endNames.size() || releases.size() == repeatedReleases) {
            return std::nullopt;
        }
        releases.push_back({*ticket, static_cast<slot_end>(*end)});
    } while (!rest.empty());
    return releases;
}

std::optional<slot_message> decodeRequest(const Json::Value &json)
{
    constexpr std::int64_t noMinimum = 0;
    const auto ticket = ticketOf(json[ticketField]);
    const auto priority = numberIn(json, priorityField, noMinimum, maxPriority);
    const auto prompt = numberIn(json, promptField, noMinimum, maxTokens);
    const auto expected = numberIn(json, expectedField, 1, maxTokens);
    const auto untilLate = numberIn(json, untilLateField, -maxTime, maxTime);
    const auto timeLeft = numberIn(json, timeLeftField, noMinimum, maxTime);
    auto releases = decodeReleases(json);
    if (!ticket || !priority || !prompt || !expected || !untilLate || !timeLeft || !releases) {
        return std::nullopt;
    }
    slot_request request;
    request.ticket = *ticket;
    request.service = service_id(jsonString(json, serviceField));
    request.model = model_id(jsonString(json, modelField));
    request.organisation = organisation_id(jsonString(json, organisationField));
    request.priority = static_cast<int>(*priority);
    request.promptTokens = static_cast<int>(*prompt);
    request.expectedTokens = static_cast<int>(*expected);
    request.untilLate = duration(*untilLate);
    request.timeLeft = duration(*timeLeft);
    request.dataCentre = data_centre_id(jsonString(json, dataCentreField));
    request.hasReturned = jsonFlag(json, returnedField);
    for (const auto &head : jsonArray(json, excludedField)) {
        if (!head.isString() || request.excluded.size() == maxExcluded) {
            return std::nullopt;
        }
        request.excluded.emplace_back(head.asString());
    }
    if (request.service.isEmpty() || request.model.isEmpty()) {
        return std::nullopt;
    }
    return slot_request_message{std::move(request), std::move(*releases)};
}

std::optional<slot_message> decodeAnswer(const Json::Value &json)
{
    const auto ticket = ticketOf(json[ticketField]);
    const auto verdict = enumerationOf<slot_verdict>(verdictNames, jsonString(json, verdictField));
    const auto wait = numberIn(json, waitField, 0, maxTime);
    const instance_id head(jsonString(json, headField));
    if (!ticket || !verdict || !wait || (verdict == slot_verdict::granted && head.isEmpty())) {
        return std::nullopt;
    }
    slot_answer answer;
    answer.ticket = *ticket;
    answer.verdict = *verdict;
    answer.head = head;
    answer.wait = duration(*wait);
    return answer;
}

} // namespace

std::optional<std::string> encodeSlotMessage(const slot_message &message)
{
    return std::visit([](const auto &body) { return encodeBody(body); }, message);
}

std::optional<slot_message> decodeSlotMessage(std::string_view bytes)
{
    const auto json = bytes.size() <= maxSlotDatagram ? parseJson(std::string(bytes)) : std::nullopt;
    if (!json || !json->isObject() || jsonNumber(*json, versionField) != messageVersion) {
        return std::nullopt;
    }
    const auto kind = jsonString(*json, kindField);
    if (kind == requestKind) {
        return decodeRequest(*json);
    }
    if (kind == answerKind) {
        return decodeAnswer(*json);
    }
    if (kind == releaseKind) {
        auto releases = decodeReleases(*json);
        return releases ? std::optional<slot_message>(slot_release_message{std::move(*releases)}) : std::nullopt;
    }
    return std::nullopt;
}

std::string_view slotVerdictName(slot_verdict verdict)
{
    return verdictNames.at(indexOf(verdict));
}

} // namespace vetchpost
