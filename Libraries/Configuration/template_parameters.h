// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Settings/yaml_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

enum class parameter_type { text, integer, number, flag };

/// One typed parameter of a template.
struct template_parameter
{
    std::string name;
    parameter_type type = parameter_type::text;
    bool isRequired = false;
    std::optional<std::string> defaultValue;
    double minimum = 0;
    double maximum = 0;
    /// The words that a text may be; any where empty.
    std::vector<std::string> choices;
};

/// A template: its parameters, and the values of a deployment in which "${name}" stands for a parameter.
struct deployment_template
{
    std::vector<template_parameter> parameters;
    YAML::Node values;
};

deployment_template readTemplate(yaml_reader reader);

/// The template's values with the parameters of one deployment filled in. Problems of the parameters are reported at
/// \a parameters.
YAML::Node fillTemplate(const deployment_template &filled, yaml_reader parameters);

} // namespace vetchpost
