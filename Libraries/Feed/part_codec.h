// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/part_suspects.h"

#include <json/value.h>

#include <optional>

namespace vetchpost {

/// Encodes a report on a suspected part of prompts, for datagrams and for the key-value service.
Json::Value encodePartReport(const part_report &report);
/// Returns the report, or nothing if the value is not a valid one.
std::optional<part_report> decodePartReport(const Json::Value &json);

} // namespace vetchpost
