// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace vetchpost {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string fingerprintOf(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

bool isSameSecret(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size() && i < right.size(); ++i) {
        difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]));
    }
    return difference == 0;
}

} // namespace vetchpost
