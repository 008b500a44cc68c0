// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Configuration/configuration_head.h"

#include "Libraries/Base/json.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// The number of edits in the history. An edit whose reply was lost is found there when it is retried. At 2,700 edits a day, two a minute,
/// the history covers more than two hours of retries.
constexpr std::size_t historyLength = 256;

} // namespace

std::string toText(const configuration_head &head)
{
    Json::Value json;
    json["revision"] = Json::UInt64(head.current.value());
    json["text"] = head.text;
    json["history"] = Json::Value(Json::arrayValue);
    for (const auto &edit : head.history) {
        Json::Value entry;
        entry["edit"] = edit.edit.value();
        entry["revision"] = Json::UInt64(edit.accepted.value());
        entry["author"] = edit.author;
        entry["at"] = Json::UInt64(static_cast<std::uint64_t>(edit.atMilliseconds));
        json["history"].append(entry);
    }
    return toJsonText(json);
}

std::optional<configuration_head> configurationHeadFrom(const std::string &text)
{
    if (text.empty()) {
        return configuration_head();
    }
    const auto json = parseJson(text);
    if (!json || !json->isObject()) {
        return std::nullopt;
    }
    configuration_head head;
    head.current = revision(jsonNumber(*json, "revision"));
    head.text = jsonString(*json, "text");
    for (const auto &entry : jsonArray(*json, "history")) {
        head.history.push_back({edit_id(jsonString(entry, "edit")),
                                revision(jsonNumber(entry, "revision")),
                                jsonString(entry, "author"),
                                static_cast<std::int64_t>(jsonNumber(entry, "at"))});
    }
    return head;
}

edit_status editStatusOf(const proposed_edit &edit, const configuration_head &head)
{
    const auto isThisEdit = [&](const accepted_edit &entry) { return entry.edit == edit.edit; };
    if (std::any_of(head.history.begin(), head.history.end(), isThisEdit)) {
        return edit_status::accepted;
    }
    return head.current == edit.base ? edit_status::writable : edit_status::conflicting;
}

configuration_head headAfter(const configuration_head &head, const proposed_edit &edit)
{
    configuration_head next;
    next.current = head.current.next();
    next.text = edit.text;
    next.history = head.history;
    next.history.insert(next.history.begin(), {edit.edit, next.current, edit.author, edit.atMilliseconds});
    if (next.history.size() > historyLength) {
        next.history.resize(historyLength);
    }
    return next;
}

std::vector<accepted_edit> editsSince(const configuration_head &head, revision base)
{
    std::vector<accepted_edit> newer;
    std::copy_if(head.history.begin(), head.history.end(), std::back_inserter(newer), [&](const accepted_edit &edit) {
        return edit.accepted > base;
    });
    return newer;
}

} // namespace vetchpost
