// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

namespace vetchpost {

/// Returns the lines in which two texts differ, marked "-" if only the first has them and "+" if only the second does.
std::string lineDifference(const std::string &first, const std::string &second);

} // namespace vetchpost
