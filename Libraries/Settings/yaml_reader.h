// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost {

/// One thing that is wrong with a YAML file.
struct yaml_problem
{
    std::string file;
    /// Counted from 1; 0 where the problem has no place.
    int line = 0;
    /// The path of the key, with dots.
    std::string key;
    std::string expected;

    /// The form "file:line: key: expected ...".
    std::string text() const;
};

/// Reads the keys of one YAML mapping and collects everything that is wrong with them. Every getter returns its default
/// where the key is missing, empty or wrong, so that one run finds all problems of a file.
class yaml_reader
{
public:
    yaml_reader(const YAML::Node &node, std::string file, std::string path, std::vector<yaml_problem> &problems);

    bool has(const std::string &key) const;
    std::string requiredString(const std::string &key);
    std::string string(const std::string &key, const std::string &defaultValue);
    /// One of a closed list of words.
    std::string choice(const std::string &key, const std::vector<std::string> &choices, const std::string &defaultValue);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    std::int64_t requiredInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    /// A whole number that may be written as a fraction, as a platform that works its figures out does: rounded down.
    std::int64_t wholePart(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    double number(const std::string &key, double minimum, double maximum, double defaultValue);
    bool flag(const std::string &key, bool defaultValue);
    std::vector<std::string> strings(const std::string &key);
    /// The mapping under a key; an empty one where it is missing.
    yaml_reader map(const std::string &key);
    /// The keys of this mapping, in their order.
    std::vector<std::string> keys() const;
    /// The node under a key, marked as known.
    YAML::Node node(const std::string &key);
    /// Reports a problem at a key.
    void report(const std::string &key, const std::string &expected);
    /// Reports every key that no getter asked for.
    void refuseUnknownKeys();

private:
    std::optional<std::string> scalar(const std::string &key);

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    std::vector<yaml_problem> *m_problems;
    std::set<std::string> m_known;
};

/// Parses a text whose root must be a mapping. Nothing where it is not, with the problem reported.
std::optional<YAML::Node> parseYamlMap(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);
/// Reads a whole file; nothing where it cannot be read.
std::optional<std::string> readTextFile(const std::string &path);

} // namespace vetchpost
