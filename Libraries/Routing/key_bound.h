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

/// How new a daemon knows its configuration to be.
struct configuration_knowledge
{
    /// The configuration at hand was the newest at this moment, counted from before the question; nothing before the first.
    std::optional<instant> currentAt;
    /// Another daemon had the newest at this moment, whether it has come here or not; nothing where nobody told.
    std::optional<instant> othersCurrentAt;
};

/// Whether another daemon has a newer configuration which this one cannot get: clients are served there.
bool isLeftBehind(const configuration_knowledge &known, instant now);

/// Whether requests with a key may be served. \a currentAt is when the configuration at hand was last known to be the newest, counted from
/// before the question.
bool areKeysUsable(const key_bound &bound, std::optional<instant> currentAt, instant now);

/// Whether a daemon should take new connections: a little shorter, so that clients are elsewhere before their keys must be refused.
bool areKeysUsableForAWhile(const key_bound &bound, const configuration_knowledge &known, instant now);

/// Whether connections had better end with the answer at hand: their keys are about to be refused here, and others take them.
bool mustSendElsewhere(const key_bound &bound, const configuration_knowledge &known, instant now);

} // namespace vetchpost
