// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace vetchpost {

/// The value that \a text holds, or nothing where it is not one JSON document of bounded depth.
std::optional<Json::Value> parseJson(const std::string &text);
/// The shortest text of \a value.
std::string toJsonText(const Json::Value &value);

/// A text as JSON writes it, with its quotes; text after a NUL is left out. Much cheaper than a whole value.
std::string quotedJson(const std::string &text);

/// A member that must be a string; the empty string where it is missing or of another type.
std::string jsonString(const Json::Value &object, const char *name);
/// A member that must be a whole number from 0; 0 where it is missing or of another type.
std::uint64_t jsonNumber(const Json::Value &object, const char *name);
/// A member that must be a bool; false where it is missing or of another type.
bool jsonFlag(const Json::Value &object, const char *name);
/// A member that must be an array; an empty one where it is missing or of another type.
const Json::Value &jsonArray(const Json::Value &object, const char *name);

} // namespace vetchpost
