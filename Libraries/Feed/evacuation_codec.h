// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Routing/evacuations.h"

#include <json/value.h>

#include <optional>

namespace vetchpost {

Json::Value encodeEvacuations(const evacuation_report &report);
/// Returns nothing unless every part of the report is valid.
std::optional<evacuation_report> decodeEvacuations(const Json::Value &json);
/// Returns nothing unless the age is a number of milliseconds from 0 up to a day.
std::optional<duration> decodeAge(const Json::Value &json);

} // namespace vetchpost
