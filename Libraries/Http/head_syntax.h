// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace vetchpost {

/// Whether the text is a token of RFC 9110, as the name of a field must be.
bool isToken(std::string_view text);

/// Which rule of RFC 9112 is broken by a response's head, from its status line to its blank line; empty if none is. Also rejects a switch
/// of protocols, since no request asks for one.
std::string_view responseHeadProblem(std::string_view head);

} // namespace vetchpost
