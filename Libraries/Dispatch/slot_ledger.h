// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_request.h"

#include <map>
#include <string>

namespace vetchpost {

/// A group as a dispatcher is told of it.
struct dispatch_group
{
    instance_id head;
    replica_incarnation incarnation;
    model_id model;
    data_centre_id dataCentre;
    /// Number of requests that the group runs at once.
    int slots = 1;
    /// Factor on all times of the engine's description.
    double pace = 1;
    /// Time for which the head is still cold; zero if it is warm.
    duration coldLeft{};
    /// The version of the head, by which the engine's description adds delays; may be empty.
    std::string version = {};
};

/// Identifies a request at a dispatcher.
struct slot_ticket
{
    endpoint asker;
    std::uint64_t number = 0;

    auto operator<=>(const slot_ticket &) const = default;
};

/// What a dispatcher knows of one group.
struct group_ledger
{
    dispatch_group group;
    /// Requests that hold a slot by grants of this dispatcher.
    int granted = 0;
    /// Presumed number of requests that others sent, as of hiddenAt. They end at the rate at which requests usually end.
    double hidden = 0;
    instant hiddenAt;
    /// The observed median ratio of a request's time to the described one.
    double slowness = 1;
    /// Number of successive requests that took longer than that; negative if they took less.
    int slowerRun = 0;
    /// When the prompts of all granted requests are expected to be read.
    instant readUntil;
    instant avoidedUntil;
    /// Rejections since the last request that ended well.
    int rejections = 0;
    instant coldUntil;
    /// The earliest time of the next grant while the group is cold.
    instant nextColdGrant;
};

/// A request that holds a slot.
struct slot_grant
{
    model_id model;
    instance_id head;
    replica_incarnation incarnation;
    instant grantedAt;
    /// The time at which the slot is free even without a release.
    instant expiresAt;
    /// The time that the engine's description gives, without the group's observed slowness.
    duration described{};
};

/// The groups of one model.
struct model_ledger
{
    std::vector<group_ledger> groups;
    /// Smoothed time for which a request holds a slot.
    double holdMs = 0;
};

/// All groups of a dispatcher and the requests that it has granted there.
struct slot_ledger
{
    engine_description engine;
    /// Number of requests per second that may be granted at one cold group; 0 if groups are never cold.
    double coldPerSecond = 0;
    std::map<model_id, model_ledger> models;
    std::map<slot_ticket, slot_grant> grants;
    instant expirySearchedAt;
};

/// When a request is expected to progress at a group, counted from the grant, in milliseconds.
struct slot_forecast
{
    double firstEventMs = 0;
    double endMs = 0;
};

/// On which terms a request may get a slot.
struct slot_terms
{
    /// The latest time of the first event, from now, in milliseconds.
    double latestFirstMs = 0;
    /// Slots of the model that remain free for others.
    int sparedSlots = 0;
};

// Commands.

/// Replaces the groups. What is known of a group stays while its head's incarnation stays; grants at groups that are gone are dropped.
void replaceGroups(slot_ledger &ledger, const std::vector<dispatch_group> &groups, const engine_description &engine, instant now);
/// Gives a request a slot at a group of its model.
void grantSlot(slot_ledger &ledger, group_ledger &group, const slot_request &request, const endpoint &asker, instant now);
/// Frees the slot of a request and records what its end says about the group. Returns false if it holds none.
bool freeSlot(slot_ledger &ledger, const slot_ticket &ticket, slot_end end, instant now);
/// Frees the slots of grants whose time is over.
void expireGrants(slot_ledger &ledger, instant now);

// Queries.

/// Returns the presumed number of requests at a group, granted or not.
int runningAt(const model_ledger &model, const group_ledger &group, instant now);
/// Forecasts a request at a group where \a others requests run.
slot_forecast forecastOf(const slot_ledger &ledger, const group_ledger &group, const slot_request &request, double others, instant now);
/// Returns the group with a free slot where the request is expected to complete first; nullptr if none is open to it on these terms.
group_ledger *bestGroup(slot_ledger &ledger, model_ledger &model, const slot_request &request, const slot_terms &terms, instant now);
/// Whether a group of the model has a free slot and may be sent a request.
bool hasOpenSlot(const slot_ledger &ledger, const model_ledger &model, instant now);
/// Forecasts the time from the grant to the first event for a request that waits until a busy group has a free slot.
double firstEventAfterWait(const slot_ledger &ledger, const model_ledger &model, const slot_request &request, instant now);
/// Returns how many slots of the model are expected to become free per millisecond while requests wait.
double freedPerMs(const slot_ledger &ledger, const model_ledger &model, instant now);

} // namespace vetchpost
