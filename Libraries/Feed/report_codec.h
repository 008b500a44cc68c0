// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/replica_constraints.h"

#include <json/value.h>

#include <optional>

namespace vetchpost {

/// Encodes a report on a suspected request, for datagrams and for the key-value service.
Json::Value encodeSuspectReport(const suspect_report &report);
/// Returns the report, or nothing if the value is not a valid one.
std::optional<suspect_report> decodeSuspectReport(const Json::Value &json);

/// Encodes a report on a replica's constraints, for datagrams.
Json::Value encodeConstraintReport(const constraint_report &report);
/// Returns the report, or nothing if the value is not a report or holds values out of range.
std::optional<constraint_report> decodeConstraintReport(const Json::Value &json);

} // namespace vetchpost
