// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace vetchpost {

/// A fast hash for placement and routing (XXH3). It is the same in every process; it is no protection against forgery.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);
/// 128 bits of the same hash in hexadecimal, for keys that are compared but never shown.
std::string fingerprintOf(std::string_view text);
/// Compares two secrets in a time that does not depend on where they differ.
bool isSameSecret(std::string_view left, std::string_view right);

} // namespace vetchpost
