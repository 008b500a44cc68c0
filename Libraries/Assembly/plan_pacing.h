// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// The time for which a coordinator batches changes and answers before it plans again, after a plan that took \a planTime.
duration batchDelayAfter(duration planTime);

} // namespace vetchpost
