// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace vetchpost {

/// Returns the 64-bit XXH3 hash of \a text, for placement and routing. The result is the same in every process; it is not a cryptographic
/// hash.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);
/// Returns the 128-bit XXH3 hash of \a text as 32 hexadecimal digits, for values that are compared without being shown.
std::string fingerprintOf(std::string_view text);
/// Returns whether two secrets are equal. The time that the comparison takes does not depend on where they differ.
bool isSameSecret(std::string_view left, std::string_view right);

} // namespace vetchpost
