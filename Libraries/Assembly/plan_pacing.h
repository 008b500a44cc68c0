// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// How long a coordinator gathers changes and answers before it plans again, after a plan that took \a planTime.
duration gatherTimeAfter(duration planTime);

} // namespace vetchpost
