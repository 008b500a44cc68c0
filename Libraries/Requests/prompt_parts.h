// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Requests/request_identity.h"

#include <vector>

namespace vetchpost {

/// A part of a prompt, as the client names it.
using prompt_part = identifier<struct prompt_part_tag>;
/// A keyed digest of a prompt_part in hexadecimal: it tells nobody without the key what the part is.
using part_identity = identifier<struct part_identity_tag>;

/// Requests with more parts are not told apart by them.
constexpr std::size_t maxPromptParts = 64;

/// The parts of a prompt that requests may have in common. The last part belongs to the request itself and is not among them.
struct prompt_parts
{
    std::vector<prompt_part> shared;
    /// Whether the client's statement could not be read, or names a part twice.
    bool isInvalid = false;
};

/// Computes the keyed digest of a part.
inline part_identity identityOf(const identity_key &key, const prompt_part &part)
{
    return part_identity(keyedDigest(key, {"prompt-part", part.value()}));
}

} // namespace vetchpost
