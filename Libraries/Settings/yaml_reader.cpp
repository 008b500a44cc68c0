// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/yaml_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace vetchpost {

namespace {

int lineOf(const YAML::Node &node)
{
    return node.Mark().line < 0 ? 0 : node.Mark().line + 1;
}

} // namespace

std::string yaml_problem::text() const
{
    return fmt::format("{}:{}: {}: expected {}", file, line, key.empty() ? "(root)" : key, expected);
}

yaml_reader::yaml_reader(const YAML::Node &node, std::string file, std::string path, std::vector<yaml_problem> &problems)
    : m_node(node)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_problems(&problems)
{
}

bool yaml_reader::has(const std::string &key) const
{
    return m_node.IsMap() && m_node[key].IsDefined();
}

YAML::Node yaml_reader::node(const std::string &key)
{
    m_known.insert(key);
    return m_node.IsMap() ? m_node[key] : YAML::Node();
}

void yaml_reader::report(const std::string &key, const std::string &expected)
{
    const auto location = has(key) ? m_node[key] : m_node;
    const auto path = m_path.empty() ? key : m_path + "." + key;
    m_problems->push_back({m_file, lineOf(location), path, expected});
}

std::optional<std::string> yaml_reader::scalar(const std::string &key)
{
    m_known.insert(key);
    // A platform that generates settings from a template leaves a key empty if it has no value for it.
    if (!has(key) || m_node[key].IsNull()) {
        return std::nullopt;
    }
    if (!m_node[key].IsScalar()) {
        report(key, "a single value");
        return std::nullopt;
    }
    return m_node[key].Scalar();
}

std::string yaml_reader::requiredString(const std::string &key)
{
    auto value = scalar(key);
    if (!value || value->empty()) {
        report(key, "a text; the key is required");
        return {};
    }
    return *value;
}

std::string yaml_reader::string(const std::string &key, const std::string &defaultValue)
{
    return scalar(key).value_or(defaultValue);
}

std::string yaml_reader::choice(const std::string &key, const std::vector<std::string> &choices, const std::string &defaultValue)
{
    auto value = scalar(key).value_or(defaultValue);
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        report(key, fmt::format("one of {}", fmt::join(choices, ", ")));
        return defaultValue;
    }
    return value;
}

std::int64_t yaml_reader::integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    if (!scalar(key)) {
        return defaultValue;
    }
    std::int64_t value = 0;
    if (!YAML::convert<std::int64_t>::decode(m_node[key], value) || value < minimum || value > maximum) {
        report(key, fmt::format("a whole number from {} to {}", minimum, maximum));
        return defaultValue;
    }
    return value;
}

std::int64_t yaml_reader::requiredInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum)
{
    if (!has(key)) {
        report(key, fmt::format("a whole number from {} to {}; the key is required", minimum, maximum));
    }
    return integer(key, minimum, maximum, minimum);
}

std::int64_t yaml_reader::integerRoundedDown(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    if (!scalar(key)) {
        return defaultValue;
    }
    double value = 0;
    const bool isNumber = YAML::convert<double>::decode(m_node[key], value);
    if (!isNumber || !(std::floor(value) >= static_cast<double>(minimum) && value <= static_cast<double>(maximum))) {
        report(key, fmt::format("a number from {} to {}", minimum, maximum));
        return defaultValue;
    }
    return static_cast<std::int64_t>(value);
}

double yaml_reader::number(const std::string &key, double minimum, double maximum, double defaultValue)
{
    if (!scalar(key)) {
        return defaultValue;
    }
    double value = 0;
    if (!YAML::convert<double>::decode(m_node[key], value) || !(value >= minimum && value <= maximum)) {
        report(key, fmt::format("a number from {} to {}", minimum, maximum));
        return defaultValue;
    }
    return value;
}

bool yaml_reader::flag(const std::string &key, bool defaultValue)
{
    if (!scalar(key)) {
        return defaultValue;
    }
    bool value = false;
    if (!YAML::convert<bool>::decode(m_node[key], value)) {
        report(key, "true or false");
        return defaultValue;
    }
    return value;
}

std::vector<std::string> yaml_reader::strings(const std::string &key)
{
    m_known.insert(key);
    std::vector<std::string> result;
    if (!has(key)) {
        return result;
    }
    if (!m_node[key].IsSequence()) {
        report(key, "a list of texts");
        return result;
    }
    for (const auto &entry : m_node[key]) {
        if (!entry.IsScalar()) {
            report(key, "a list of texts");
            return result;
        }
        result.push_back(entry.Scalar());
    }
    return result;
}

yaml_reader yaml_reader::map(const std::string &key)
{
    const auto path = m_path.empty() ? key : m_path + "." + key;
    auto child = node(key);
    if (child.IsDefined() && !child.IsNull() && !child.IsMap()) {
        report(key, "a mapping");
        child = YAML::Node(YAML::NodeType::Map);
    }
    return {child, m_file, path, *m_problems};
}

std::vector<std::string> yaml_reader::keys() const
{
    std::vector<std::string> result;
    if (m_node.IsMap()) {
        for (const auto &entry : m_node) {
            result.push_back(entry.first.IsScalar() ? entry.first.Scalar() : std::string());
        }
    }
    return result;
}

void yaml_reader::refuseUnknownKeys()
{
    for (const auto &key : keys()) {
        if (!m_known.contains(key)) {
            report(key, fmt::format("no such key here; known are {}", fmt::join(m_known, ", ")));
        }
    }
}

std::optional<YAML::Node> parseYamlMap(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems)
{
    try {
        auto node = YAML::Load(text);
        if (node.IsMap()) {
            return node;
        }
        problems.push_back({file, lineOf(node), "", "a mapping at the root"});
    } catch (const YAML::Exception &error) {
        problems.push_back({file, error.mark.line + 1, "", "well-formed YAML (" + error.msg + ")"});
    }
    return std::nullopt;
}

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace vetchpost
