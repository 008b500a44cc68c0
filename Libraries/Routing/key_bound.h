// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>

namespace vetchpost {

/// How long the keys at hand are taken without word that they are the newest.
struct key_bound
{
    /// How long a withdrawn key may still be taken where the key-value service can be reached.
    duration revocation{};
    /// Whether that holds for a daemon that is cut off too.
    bool isStrict = true;
};

/// Whether requests with a key may be served. \a currentAt is when the configuration at hand was last known to be the newest, counted from
/// before the question.
bool areKeysUsable(const key_bound &bound, std::optional<instant> currentAt, instant now);

/// Whether a daemon should take new connections: a little shorter, so that clients are elsewhere before their keys must be refused.
bool areKeysUsableForAWhile(const key_bound &bound, std::optional<instant> currentAt, instant now);

} // namespace vetchpost
