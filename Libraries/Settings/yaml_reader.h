// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vetchpost {

/// An error in a YAML file.
struct yaml_problem
{
    std::string file;
    /// The line number, counted from 1; 0 if the problem belongs to no line.
    int line = 0;
    /// The path of the key, separated by dots; empty for the root.
    std::string key;
    std::string expected;

    /// Returns the problem in the form "file:line: key: expected ...".
    std::string text() const;
};

/// Reads the keys of one YAML mapping and collects all problems with them. Every getter returns its default if the key is missing, empty or
/// wrong, so that a single pass finds all problems of a file.
class yaml_reader
{
public:
    yaml_reader(const YAML::Node &node, std::string file, std::string path, std::vector<yaml_problem> &problems);

    /// Returns whether the mapping contains the key.
    bool has(const std::string &key) const;
    std::string requiredString(const std::string &key);
    std::string string(const std::string &key, const std::string &defaultValue);
    /// Reads one of the values in \a choices.
    std::string choice(const std::string &key, const std::vector<std::string> &choices, const std::string &defaultValue);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    std::int64_t requiredInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    /// Reads an integer that may be written as a fraction, which is rounded down. Platforms that calculate values write fractions.
    std::int64_t integerRoundedDown(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    double number(const std::string &key, double minimum, double maximum, double defaultValue);
    bool flag(const std::string &key, bool defaultValue);
    /// Reads a list of texts; an empty list if the key is missing.
    std::vector<std::string> strings(const std::string &key);
    /// Returns a reader for the mapping under a key; for an empty mapping if it is missing or wrong.
    yaml_reader map(const std::string &key);
    /// Returns the keys of this mapping, in their order in the file.
    std::vector<std::string> keys() const;
    /// Returns the node under a key, and marks the key as known.
    YAML::Node node(const std::string &key);
    /// Adds a problem at a key, with what was expected there.
    void report(const std::string &key, const std::string &expected);
    /// Reports every key of the mapping that has not been read.
    void refuseUnknownKeys();

private:
    std::optional<std::string> scalar(const std::string &key);

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    std::vector<yaml_problem> *m_problems;
    std::set<std::string> m_known;
};

/// Parses a text whose root must be a mapping. Otherwise appends the problem to \a problems and returns nothing.
std::optional<YAML::Node> parseYamlMap(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);
/// Returns the content of a file; nothing if it cannot be read.
std::optional<std::string> readTextFile(const std::string &path);

} // namespace vetchpost
