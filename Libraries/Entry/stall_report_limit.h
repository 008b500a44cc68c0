// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <map>

namespace vetchpost {

/// Minimum time between two stall reports about the same group, whether a daemon sends its own or forwards those of others. All requests at
/// a group stall at once and would each cause a report.
constexpr duration stallReportPeriod(400);

/// Rate limiter for stall reports: whether a report about the group with this head may be sent now. If so, the time is recorded in
/// \a lastReports.
inline bool admitStallReport(std::map<instance_id, instant> &lastReports, const instance_id &head, instant now)
{
    std::erase_if(lastReports, [&](const auto &report) { return now - report.second >= stallReportPeriod; });
    return lastReports.try_emplace(head, now).second;
}

} // namespace vetchpost
