// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>

namespace vetchpost {

/// Limits for how long a daemon accepts API keys without confirmation that its configuration is current.
struct key_revocation_policy
{
    /// How long a revoked key may still be accepted by a daemon that can reach the key-value service.
    duration revocation{};
    /// Whether the limit also applies to a daemon that is cut off from the key-value service.
    bool isStrict = true;
};

/// When a daemon's configuration was last known to be current.
struct configuration_freshness
{
    /// When this daemon's configuration was last confirmed as the newest, counted from before the query; nothing before the first
    /// confirmation.
    std::optional<instant> currentAt;
    /// When another daemon last had the newest configuration, whether or not this one has it; nothing without a report from one.
    std::optional<instant> othersCurrentAt;
    /// The key-value service has come back from an older copy, and no daemon can tell yet which configuration is the newest.
    bool isUnconfirmable = false;
};

/// Whether another daemon has a newer configuration which this one cannot read, so that clients can be served there.
bool isConfigurationStale(const configuration_freshness &freshness, instant now);

/// Whether requests with a key may be served. \a currentAt is when the daemon's configuration was last confirmed as the newest, counted
/// from before the query.
bool areKeysUsable(const key_revocation_policy &policy, std::optional<instant> currentAt, instant now);

/// Whether a daemon should accept new connections. This ends earlier than areKeysUsable(), so that clients have moved to other daemons
/// before their keys are refused.
bool areKeysUsableForNewConnections(const key_revocation_policy &policy, const configuration_freshness &freshness, instant now);

/// Whether connections should be closed after the current answer, since their keys are about to be refused here while other daemons accept
/// them.
bool mustSendElsewhere(const key_revocation_policy &policy, const configuration_freshness &freshness, instant now);

} // namespace vetchpost
