// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/log.h"
#include "Libraries/Settings/yaml_reader.h"

#include <string>

/// Values that several settings files have in common.
namespace vetchpost {

/// A required IP number with a port.
endpoint readEndpoint(yaml_reader &reader, const std::string &key);
/// A time in milliseconds.
duration readDuration(yaml_reader &reader, const std::string &key, int minimum, int maximum, int defaultValue);
/// The key log-level: debug, info (the default), warning or error.
log_level readLogLevel(yaml_reader &reader);

} // namespace vetchpost
