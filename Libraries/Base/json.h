// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace vetchpost {

/// Parses one JSON document. Returns nothing if \a text is not valid JSON or is nested more deeply than the limit.
std::optional<Json::Value> parseJson(const std::string &text);
/// Returns \a value as JSON without white space between its tokens.
std::string toJsonText(const Json::Value &value);

/// Returns \a text as a JSON string with its quotes; anything after a NUL character is left out. Much cheaper than building a JSON value.
std::string quotedJson(const std::string &text);

/// Returns a member of \a object that is a string; the empty string if it is missing or of another type.
std::string jsonString(const Json::Value &object, const char *name);
/// Returns a member of \a object that is a non-negative integer; 0 if it is missing or of another type.
std::uint64_t jsonNumber(const Json::Value &object, const char *name);
/// Returns a member of \a object that is a bool; false if it is missing or of another type.
bool jsonFlag(const Json::Value &object, const char *name);
/// Returns a member of \a object that is an array; an empty array if it is missing or of another type.
const Json::Value &jsonArray(const Json::Value &object, const char *name);

} // namespace vetchpost
