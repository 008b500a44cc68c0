// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Engines/engine_messages.h"
#include "Libraries/Platform/instance_list_client.h"

#include <map>
#include <optional>
#include <vector>

namespace vetchpost {

/// What was last observed of an instance.
struct instance_observation
{
    instance_id instance;
    /// The instance's own word; nothing where it did not answer.
    std::optional<engine_state> state;
};

struct tracker_limits
{
    /// So many losses within the window hold an instance back ...
    int flapsUntilHeld = 3;
    duration flapWindow{900000};
    /// ... for this time after its last return.
    duration holdTime{600000};
};

/// What is known of one instance over time.
struct tracked_instance
{
    listed_instance listed;
    /// Its last word; kept while it is missing.
    std::optional<engine_state> lastState;
    /// Since when it does not answer; nothing while it does.
    std::optional<instant> missingSince;
    /// When it last came back.
    std::optional<instant> returnedAt;
    /// Its losses within the window.
    std::vector<instant> losses;
    bool isListed = true;

    bool isAnswering() const
    {
        return lastState && !missingSince;
    }

    /// The platform's list or the instance itself says that it leaves.
    bool isLeaving() const
    {
        return listed.isLeaving || !isListed || (isAnswering() && lastState->isLeaving);
    }
};

struct instance_tracker
{
    std::map<instance_id, tracked_instance> instances;
    /// Whether the platform's list was taken in at all. Before that, no instances means none known, not none there.
    bool hasList = false;
    /// How often an instance was seen to go back to a lower fencing number in one run: its engine ignores them, and an order of the
    /// past reached it.
    int staleOrdersObeyed = 0;
    tracker_limits limits;
};

// Commands.

/// Takes in the platform's list of one data centre. An instance that the lagging list no longer has is kept while it
/// answers or stands in a group, as one that leaves.
void takeList(instance_tracker &tracker, const std::vector<listed_instance> &list);
/// Takes in one observation; true where it changed anything but the load.
bool takeObservation(instance_tracker &tracker, const instance_observation &observation, instant now);

// Queries.

/// Whether a newer word of an instance must be told to others at once: all but a load that goes on, which may wait.
bool isNews(const engine_state &told, const engine_state &newer);
const tracked_instance *findInstance(const instance_tracker &tracker, const instance_id &id);
/// Whether an instance that keeps failing is held back from new groups.
bool isHeld(const tracked_instance &tracked, const tracker_limits &limits, instant now);
/// Whether an instance may be given a new place.
bool isPlaceable(const tracked_instance &tracked, const tracker_limits &limits, instant now);

} // namespace vetchpost
