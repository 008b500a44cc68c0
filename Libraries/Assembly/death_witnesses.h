// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <map>
#include <set>

namespace vetchpost {

/// What one daemon found when it looked at a replica directly.
struct direct_look
{
    instant when;
    bool hasAnswered = false;
};

/// What several daemons found of replicas that stand still. A replica that is cut off from some daemons still answers others, so that only
/// their agreement tells it from a dead one.
struct death_witnesses
{
    std::map<instance_id, std::map<daemon_id, direct_look>> looks;
};

/// So many daemons must have found a replica silent. Where a cut that leaves it alive takes it from a third of them, four agree by chance
/// in one case of a hundred, and nobody finds it alive in far fewer. A cut may also take it from all: its entry must have lapsed besides.
constexpr int neededWitnesses = 4;
/// A look counts for so long.
constexpr duration lookLifetime(3000);

void noteLook(death_witnesses &witnesses, const instance_id &replica, const daemon_id &daemon, const direct_look &look);
/// Forgets looks that are too old.
void forgetOldLooks(death_witnesses &witnesses, instant now);
/// The replicas that enough daemons found silent and none found alive.
std::set<instance_id> confirmedDead(const death_witnesses &witnesses, instant now);

} // namespace vetchpost
