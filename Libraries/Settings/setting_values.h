// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/log.h"
#include "Libraries/Settings/yaml_reader.h"

#include <string>

/// Readers for values that several settings files have in common.
namespace vetchpost {

/// Reads a required IPv4 address with a port. Returns an empty endpoint if it is missing or wrong.
endpoint readEndpoint(yaml_reader &reader, const std::string &key);
/// Reads a time in milliseconds; fractions are rounded down.
duration readDuration(yaml_reader &reader, const std::string &key, int minimum, int maximum, int defaultValue);
/// Reads the key log-level: debug, info (the default), warning or error.
log_level readLogLevel(yaml_reader &reader);

} // namespace vetchpost
