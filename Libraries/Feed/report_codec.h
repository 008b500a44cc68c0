// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/replica_constraints.h"

#include <json/value.h>

#include <optional>

namespace vetchpost {

/// What is known of a suspect as it stands in a datagram and in what the key-value service keeps.
Json::Value encodedEvidence(const crash_evidence &evidence);
/// Nothing where it is no evidence.
std::optional<crash_evidence> decodedEvidence(const Json::Value &json);

Json::Value encodedConstraint(const constraint_report &report);
/// Nothing where it is no report, or one that no daemon would make.
std::optional<constraint_report> decodedConstraint(const Json::Value &json);

} // namespace vetchpost
