// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/proxy_table.h"

#include <json/value.h>

#include <optional>

namespace vetchpost {

/// Encodes a report on a daemon through which others can reach replicas, for datagrams.
Json::Value encodeProxyReport(const proxy_report &report);
/// Returns the report, or nothing if the value is not a report or holds values out of range.
std::optional<proxy_report> decodeProxyReport(const Json::Value &json);

} // namespace vetchpost
