// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <Poco/Timespan.h>

namespace vetchpost {

/// A duration as POCO's sockets take it.
inline Poco::Timespan timespanOf(duration value)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    return {value.count() * microsecondsPerMillisecond};
}

} // namespace vetchpost
