// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Engines/engine_messages.h"
#include "Libraries/Platform/instance_list_client.h"

#include <map>
#include <optional>
#include <vector>

namespace vetchpost {

/// Result of one observation of an instance.
struct instance_observation
{
    instance_id instance;
    /// The state that the instance reported; nothing if it did not answer.
    std::optional<engine_state> state;
};

/// When an instance that fails repeatedly is kept out of new groups.
struct tracker_limits
{
    /// Losses within flapWindow from which an instance is held down.
    int flapThreshold = 3;
    duration flapWindow{900000};
    /// How long a flapping instance is held down after its last return.
    duration holdDownTime{600000};
};

/// Last known state and loss history of one instance.
struct tracked_instance
{
    listed_instance listed;
    /// The last state that it reported; kept while it is missing.
    std::optional<engine_state> lastState;
    /// Since when it has not answered; nothing if it answers or was never observed.
    std::optional<instant> missingSince;
    /// When it last answered again after a loss or a restart.
    std::optional<instant> returnedAt;
    /// Times of its losses; those older than flapWindow are dropped with the next loss.
    std::vector<instant> losses;
    bool isListed = true;

    bool isAnswering() const
    {
        return lastState && !missingSince;
    }

    /// Whether the instance is about to leave: it or the platform's list reports so, or the list no longer contains it.
    bool isLeaving() const
    {
        return listed.isLeaving || !isListed || (isAnswering() && lastState->isLeaving);
    }
};

/// The instances of one data centre as last observed.
struct instance_tracker
{
    std::map<instance_id, tracked_instance> instances;
    /// Whether the platform's list has been applied. Until then, an empty tracker means that nothing is known, not that there are no
    /// instances.
    bool hasInstanceList = false;
    /// How often an instance went back to a lower fencing number within one run. Its engine does not check them, and it obeyed a stale
    /// order.
    int staleOrdersObeyed = 0;
    tracker_limits limits;
};

// Commands.

/// Applies the platform's list of one data centre. An instance that is no longer listed is kept as leaving while it answers, since the
/// list may lag.
void applyInstanceList(instance_tracker &tracker, const std::vector<listed_instance> &list);
/// Applies one observation. Returns whether anything but the load changed; false for an unknown instance.
bool applyObservation(instance_tracker &tracker, const instance_observation &observation, instant now);

// Queries.

/// Whether a newer state of an instance must be reported to other daemons at once. Only a change of load may wait, unless the instance
/// has become idle or busy.
bool needsImmediateReport(const engine_state &reported, const engine_state &newer);
/// Returns the instance, or null if it is unknown.
const tracked_instance *findInstance(const instance_tracker &tracker, const instance_id &id);
/// Whether an instance is kept out of new groups because it failed repeatedly.
bool isHeldDown(const tracked_instance &tracked, const tracker_limits &limits, instant now);
/// Whether an instance may become a member of a group: it answers, is neither leaving nor held down, and runs no plain
/// service.
bool isPlaceable(const tracked_instance &tracked, const tracker_limits &limits, instant now);

} // namespace vetchpost
