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
    /// The allowed values of a text; empty if all are allowed.
    std::vector<std::string> choices;
};

/// A template of deployments: its parameters, and the keys and values of a deployment, in which the value "${name}" stands for a parameter.
struct deployment_template
{
    std::vector<template_parameter> parameters;
    YAML::Node values;
};

/// Reads a template. Reports what is wrong through \a reader.
deployment_template readTemplate(yaml_reader reader);

/// Returns the values of a template with the parameters of one deployment filled in. Reports what is wrong with the parameters through
/// \a parameters.
YAML::Node expandTemplate(const deployment_template &source, yaml_reader parameters);

} // namespace vetchpost
