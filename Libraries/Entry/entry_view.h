// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/route_table.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace vetchpost {

/// What this daemon knows of one place that requests are sent to, from its own requests alone. Outlives the views.
struct backend_load
{
    std::atomic<int> outstanding = 0;
    /// Smoothed time to the first event, or to the answer, in milliseconds; 0 before the first.
    std::atomic<double> answerTime = 0;
    /// When it was last measured (milliseconds of the decision clock).
    std::atomic<std::int64_t> answerTimeAt = 0;
    /// The daemon's turn that last went to this place, or passed it over; 0 before the first.
    std::atomic<std::uint64_t> lastTurn = 0;
    /// Nothing is sent there before this time, while another place is there (milliseconds of the decision clock).
    std::atomic<std::int64_t> avoidedUntil = 0;
    /// Rejections there since it last took a request.
    std::atomic<int> rejections = 0;
    /// When bytes last came from there (milliseconds of the decision clock).
    std::atomic<std::int64_t> lastProgress = 0;
    /// When the coordinator last told that the place is likely to stand still (milliseconds of the decision clock).
    std::atomic<std::int64_t> doubtedAt = 0;
};

/// A place that stood still or broke off is passed over for so long, while there is another.
constexpr duration avoidance(3000);
/// A place where requests wait and nothing came for so long is passed over too: longer than the longest pause that keeps a stream in time.
constexpr duration quietPause(300);

void avoid(backend_load &load, instant now);

/// A place that rejected a request without a time of rest is passed over for so long, while there is another; twice as long with each
/// further rejection, up to the longest.
constexpr duration firstRejectionAvoidance(250);
constexpr duration longestRejectionAvoidance(2000);

/// A place that rejects is quick and has nothing outstanding: without this it would look like the best one.
void noteRejection(backend_load &load, instant now);
/// The place has taken a request.
void noteAdmission(backend_load &load);
/// Whether requests wait at a place that sent nothing for a while.
bool isQuiet(const backend_load &load, instant now);

/// One place that requests can be sent to: a replica of a plain service, or the head of a group.
struct backend
{
    instance_id replica;
    endpoint address;
    data_centre_id dataCentre;
    group_id group;
    int slots = 1;
    std::shared_ptr<backend_load> load;
    replica_life life = {};
};

/// All that a request is routed by. Never changes once it is made.
struct entry_view
{
    std::shared_ptr<const route_table> routes;
    /// The replicas' entries have been listed: what is not here is not there.
    bool isListed = false;
    /// The replicas of plain services.
    std::map<service_id, std::vector<backend>> replicas;
    /// The heads of groups that take requests.
    std::map<std::pair<service_id, model_id>, std::vector<backend>> groups;
    data_centre_id dataCentre;

    const std::vector<backend> &backends(const served_service &service, const model_id &model) const;
};

/// Makes views and keeps the loads of places that stay.
class entry_view_builder
{
public:
    std::shared_ptr<const entry_view>
    build(std::shared_ptr<const route_table> routes, const replica_directory &directory, bool isListed, const data_centre_id &dataCentre);

private:
    backend makeBackend(const served_replica &replica, const group_id &group, formation formed);

    std::map<std::string, std::weak_ptr<backend_load>> m_loads;
};

/// Whether there is a place that was not tried yet.
bool hasUntried(const std::vector<backend> &candidates, const std::vector<instance_id> &tried);

/// The place for the next request: of groups the one with the fewest own requests, and of equals the one whose turn it is, a slow one
/// counting as fuller; of plain replicas the one that promises the earliest answer. Places in \a tried are passed over; nullptr where none
/// is left. Notes the \a turn, a number that rises with each choice of the daemon, at the places that had theirs. \a draw decides between
/// equals and gives new places their first turn. With \a prefersNear groups of other data centres count as fuller; without it all are
/// alike, so that no group is full while another one, further away, has room.
const backend *chooseBackend(const std::vector<backend> &candidates,
                             const std::vector<instance_id> &tried,
                             const data_centre_id &dataCentre,
                             instant now,
                             std::uint64_t turn,
                             std::uint64_t draw,
                             bool prefersNear = false);

} // namespace vetchpost
