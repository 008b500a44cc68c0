// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <map>

namespace vetchpost {

/// A daemon tells of the same group, or passes the word of others on, again after this time: all requests there stand still at once.
constexpr duration noticePeriod(400);

/// Whether a notice of a group may be sent now; notes that it is.
inline bool mayNotice(std::map<instance_id, instant> &lastNotices, const instance_id &head, instant now)
{
    std::erase_if(lastNotices, [&](const auto &notice) { return now - notice.second >= noticePeriod; });
    return lastNotices.try_emplace(head, now).second;
}

} // namespace vetchpost
