// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Configuration/template_parameters.h"

#include <fmt/format.h>

#include <map>

namespace vetchpost {

namespace {

constexpr double largestNumber = 1e15;

parameter_type typeFrom(const std::string &word)
{
    if (word == "integer") {
        return parameter_type::integer;
    }
    if (word == "number") {
        return parameter_type::number;
    }
    return word == "flag" ? parameter_type::flag : parameter_type::text;
}

template_parameter readParameter(const std::string &name, yaml_reader reader)
{
    template_parameter parameter;
    parameter.name = name;
    parameter.type = typeFrom(reader.choice("type", {"text", "integer", "number", "flag"}, "text"));
    parameter.isRequired = reader.flag("required", false);
    parameter.minimum = reader.number("minimum", -largestNumber, largestNumber, -largestNumber);
    parameter.maximum = reader.number("maximum", -largestNumber, largestNumber, largestNumber);
    parameter.choices = reader.strings("choices");
    if (reader.has("default")) {
        parameter.defaultValue = reader.string("default", "");
    }
    if (parameter.isRequired && parameter.defaultValue) {
        reader.report("default", "no default, since the parameter is required");
    }
    if (parameter.minimum > parameter.maximum) {
        reader.report("minimum", "a number not above the maximum");
    }
    reader.refuseUnknownKeys();
    return parameter;
}

/// Checks the value of a parameter by type, bounds and choices; \a given reports what is wrong with it.
void checkValue(const template_parameter &parameter, yaml_reader &given)
{
    switch (parameter.type) {
    case parameter_type::integer:
        given.integer(parameter.name, static_cast<std::int64_t>(parameter.minimum), static_cast<std::int64_t>(parameter.maximum), 0);
        return;
    case parameter_type::number:
        given.number(parameter.name, parameter.minimum, parameter.maximum, 0);
        return;
    case parameter_type::flag:
        given.flag(parameter.name, false);
        return;
    case parameter_type::text:
        if (parameter.choices.empty()) {
            given.string(parameter.name, "");
        } else {
            given.choice(parameter.name, parameter.choices, parameter.choices.front());
        }
        return;
    }
}

/// Returns the name in "${name}"; nothing for any other text.
std::optional<std::string> parameterNameIn(const std::string &text)
{
    constexpr std::size_t minLength = 4;
    if (text.size() >= minLength && text.starts_with("${") && text.ends_with("}")) {
        return text.substr(2, text.size() - 3);
    }
    return std::nullopt;
}

} // namespace

deployment_template readTemplate(yaml_reader reader)
{
    deployment_template result;
    auto parameters = reader.map("parameters");
    for (const auto &name : parameters.keys()) {
        result.parameters.push_back(readParameter(name, parameters.map(name)));
    }
    result.values = reader.node("values");
    if (!result.values.IsDefined() || !result.values.IsMap()) {
        reader.report("values", "a mapping of a deployment's keys; the key is required");
        result.values = YAML::Node(YAML::NodeType::Map);
    }
    reader.refuseUnknownKeys();
    return result;
}

YAML::Node expandTemplate(const deployment_template &source, yaml_reader parameters)
{
    std::map<std::string, std::string> values;
    for (const auto &parameter : source.parameters) {
        if (parameters.has(parameter.name)) {
            checkValue(parameter, parameters);
            values[parameter.name] = parameters.string(parameter.name, "");
        } else if (parameter.defaultValue) {
            values[parameter.name] = *parameter.defaultValue;
        } else if (parameter.isRequired) {
            parameters.report(parameter.name, "a value; the template requires this parameter");
        }
        parameters.node(parameter.name);
    }
    parameters.refuseUnknownKeys();

    YAML::Node result(YAML::NodeType::Map);
    for (const auto &entry : source.values) {
        const auto name = entry.second.IsScalar() ? parameterNameIn(entry.second.Scalar()) : std::nullopt;
        if (!name) {
            result[entry.first.Scalar()] = YAML::Clone(entry.second);
        } else if (const auto value = values.find(*name); value != values.end()) {
            result[entry.first.Scalar()] = value->second;
        }
        // Without a value and a default for the parameter, the key is left out, so that the default of the deployment's key applies.
    }
    return result;
}

} // namespace vetchpost
