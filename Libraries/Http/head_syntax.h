// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace vetchpost {

/// Which rule of RFC 9112 is broken by the status line of a response's head; empty if none is. Also rejects a switch
/// of protocols, since no request asks for one.
std::string_view responseHeadProblem(std::string_view head);

} // namespace vetchpost
