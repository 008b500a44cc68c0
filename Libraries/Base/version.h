// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace vetchpost {

/// The version of all programs; must match the version in CMakeLists.txt.
constexpr std::string_view programVersion = "0.1.0";

} // namespace vetchpost
