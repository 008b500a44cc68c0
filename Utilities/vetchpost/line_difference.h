// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>

namespace vetchpost {

/// The lines that two texts do not share, marked "-" for the first and "+" for the second.
std::string lineDifference(const std::string &first, const std::string &second);

} // namespace vetchpost
