// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Feed/dispatcher_list.h"
#include "Libraries/Feed/feed_messages.h"

#include <map>
#include <vector>

namespace vetchpost {

/// Number of outstanding requests of a model for each of its dispatchers.
constexpr int requestsPerDispatcher = 300;
constexpr int maxDispatchersPerModel = 8;
/// Number of candidates in a subscription of a relay. Enough for the source to find those with the largest processor shares.
constexpr std::size_t candidatesPerSubscription = 4;
/// A named dispatcher counts as present for this long after it was last reported as a candidate.
constexpr duration dispatcherAbsenceTime(500);
/// A new source keeps the dispatchers of its predecessor for this long: the daemons need up to a second to read who the coordinator is, and
/// subscribe only then.
constexpr duration dispatcherTakeoverTime(3500);

/// The source's choice of dispatchers.
struct dispatcher_choice
{
    dispatcher_list list;
    /// Until when each candidate counts as present, by address.
    std::map<endpoint, instant> presentUntil;
};

/// Begins a term as the source with the list that was in force before.
void beginChoice(dispatcher_choice &choice, const dispatcher_list &list, instant now);
/// Chooses the dispatchers of all models in \a demand, which names each model once. \a candidates are the daemons that are present; one
/// with a processor share of 0 is never chosen and is replaced at once. Named dispatchers stay while they are present, each in its place.
void chooseDispatchers(dispatcher_choice &choice,
                       const std::vector<dispatcher_candidate> &candidates,
                       const std::vector<model_demand> &demand,
                       instant now);
/// Returns the candidates that a relay reports of itself and the daemons behind it: all that are named, and otherwise those with the
/// largest processor shares, up to candidatesPerSubscription.
std::vector<dispatcher_candidate> reportedCandidates(std::vector<dispatcher_candidate> candidates, const dispatcher_list &list);
/// Returns how many dispatchers a model needs that has \a present ones.
int dispatchersNeeded(int outstanding, int present);

} // namespace vetchpost
