// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <sstream>

namespace vetchpost {

namespace {

constexpr int maximumDepth = 64;

Json::CharReaderBuilder makeReaderBuilder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = maximumDepth;
    return builder;
}

Json::StreamWriterBuilder makeWriterBuilder()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

const Json::Value &member(const Json::Value &object, const char *name)
{
    return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

} // namespace

std::optional<Json::Value> parseJson(const std::string &text)
{
    // Readers and writers are expensive to create and cheap to reuse.
    thread_local const std::unique_ptr<Json::CharReader> reader(makeReaderBuilder().newCharReader());
    Json::Value value;
    try {
        std::string errors;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return std::nullopt;
        }
    } catch (const Json::Exception &) {
        // The parser reports an exceeded depth limit with an exception.
        return std::nullopt;
    }
    return value;
}

std::string toJsonText(const Json::Value &value)
{
    thread_local const std::unique_ptr<Json::StreamWriter> writer(makeWriterBuilder().newStreamWriter());
    std::ostringstream text;
    writer->write(value, &text);
    return std::move(text).str();
}

std::string quotedJson(const std::string &text)
{
    return Json::valueToQuotedString(text.c_str());
}

std::string jsonString(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name);
    return value.isString() ? value.asString() : std::string();
}

std::uint64_t jsonNumber(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name);
    return value.isUInt64() ? value.asUInt64() : 0;
}

bool jsonFlag(const Json::Value &object, const char *name)
{
    const auto &value = member(object, name);
    return value.isBool() && value.asBool();
}

const Json::Value &jsonArray(const Json::Value &object, const char *name)
{
    static const Json::Value empty(Json::arrayValue);
    const auto &value = member(object, name);
    return value.isArray() ? value : empty;
}

} // namespace vetchpost
