// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <Poco/Timespan.h>

namespace vetchpost {

/// Converts a duration to the type that POCO's sockets use.
inline Poco::Timespan timespanOf(duration value)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    return {value.count() * microsecondsPerMillisecond};
}

} // namespace vetchpost
