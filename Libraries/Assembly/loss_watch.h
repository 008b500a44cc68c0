// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"

#include <map>
#include <optional>
#include <vector>

namespace vetchpost {

/// Times how soon lost groups are found and mended; decides nothing.
struct loss_watch
{
    /// When it was first told of each head that its group stands still.
    std::map<instance_id, instant> toldAt;
    /// Since when each model has fewer serving groups than are wanted.
    std::map<model_id, instant> lackingSince;
};

/// A daemon tells that a group stands still.
void noteTold(loss_watch &watch, const instance_id &head, instant now);
/// A member of the group does not answer: how long ago it was first told of; nothing where it was not.
std::optional<duration> noteFound(loss_watch &watch, const instance_id &head, instant now);
/// How long each model lacked groups that has all of them again.
std::vector<duration> noteStandings(loss_watch &watch, const std::vector<model_standing> &standings, instant now);

} // namespace vetchpost
