// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/replica_constraints.h"
#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/route_table.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace vetchpost {

/// The load of one backend as seen by this daemon's own requests. Shared by successive views.
struct backend_load
{
    /// Requests of this daemon that the backend holds.
    std::atomic<int> outstanding = 0;
    /// Smoothed time to the first event, or to the response of a request without events, in milliseconds; 0 before the first.
    std::atomic<double> responseTime = 0;
    /// When responseTime was last updated (milliseconds of the monotonic clock).
    std::atomic<std::int64_t> responseTimeAt = 0;
    /// The daemon's turn in which this backend was last chosen, or lost its turn because it is avoided; 0 before the first.
    std::atomic<std::uint64_t> lastTurn = 0;
    /// The backend is avoided until this time, while there is another one (milliseconds of the monotonic clock).
    std::atomic<std::int64_t> avoidedUntil = 0;
    /// Rejections since the backend last admitted a request.
    std::atomic<int> rejections = 0;
    /// When bytes were last received from the backend, or its first outstanding request was sent (milliseconds of the monotonic clock).
    std::atomic<std::int64_t> lastProgress = 0;
    /// When a part of an answer was last received from the backend (milliseconds of the monotonic clock).
    std::atomic<std::int64_t> lastAnswerPart = 0;
    /// When the coordinator last warned that the backend is likely to be stalled (milliseconds of the monotonic clock).
    std::atomic<std::int64_t> stallWarnedAt = 0;
};

/// How long a backend that stalled or lost a connection is avoided, while there is another.
constexpr duration avoidanceTime(3000);
/// A backend with outstanding requests that sent nothing for this time is avoided too. Longer than the longest gap allowed within a stream.
constexpr duration quietTimeout(300);

/// Marks a backend as avoided for avoidanceTime.
void avoid(backend_load &load, instant now);

/// How long a backend that rejected a request without stating a backoff is avoided, while there is another. Doubles with each further
/// rejection, up to longestRejectionAvoidance.
constexpr duration firstRejectionAvoidance(250);
constexpr duration longestRejectionAvoidance(2000);

/// Records that a backend rejected a request, and avoids it for a while. A backend that rejects responds fast and has nothing outstanding,
/// so that it would otherwise look like the best one.
void recordRejection(backend_load &load, instant now);
/// Records that a backend admitted a request, which resets its rejections.
void recordAdmission(backend_load &load);
/// Whether a backend with outstanding requests has sent nothing for longer than quietTimeout.
bool isQuiet(const backend_load &load, instant now);
/// Whether requests go to another backend while there is one.
bool isAvoided(const backend_load &load, instant now);

/// A target for requests: a replica of a plain service, or the head of a group.
struct backend
{
    instance_id replica;
    endpoint address;
    data_centre_id dataCentre;
    /// Empty for a replica of a plain service.
    group_id group;
    /// Requests that the backend runs at once.
    int slots = 1;
    std::shared_ptr<backend_load> load;
    replica_incarnation incarnation = {};
    /// Until when it is cold, as its entry says; the epoch of the clock if it is not.
    instant coldUntil = {};
};

/// Returns the key under which constraints of the backend are kept.
inline replica_key keyOf(const backend &target)
{
    return {target.replica, target.incarnation};
}

/// An immutable snapshot of everything that requests are routed by.
struct entry_view
{
    std::shared_ptr<const route_table> routes;
    /// Whether the replicas' entries have been listed, so that a replica which is missing here does not exist.
    bool isListed = false;
    /// The replicas of plain services that do not drain.
    std::map<service_id, std::vector<backend>> replicas;
    /// The heads of groups that accept requests.
    std::map<std::pair<service_id, model_id>, std::vector<backend>> groups;
    /// The data centre of this daemon.
    data_centre_id dataCentre;

    /// The backends for a model of a service; plain services ignore the model.
    const std::vector<backend> &backends(const served_service &service, const model_id &model) const;
};

/// Builds views, and hands the loads of backends that stay from one view to the next.
class entry_view_builder
{
public:
    /// \a evacuated: the data centres to whose replicas no request may be sent. While they are not known the view has no backends and does
    /// not count as listed.
    std::shared_ptr<const entry_view> build(std::shared_ptr<const route_table> routes,
                                            const replica_directory &directory,
                                            bool isListed,
                                            const data_centre_id &dataCentre,
                                            const std::optional<std::set<data_centre_id>> &evacuated = std::set<data_centre_id>());

private:
    backend makeBackend(const served_replica &replica, const group_id &group, formation formed);

    /// By replica, its incarnation and the formation of its group.
    std::map<std::string, std::weak_ptr<backend_load>> m_loads;
};

/// Whether there is a candidate that has not been tried yet.
bool hasUntried(const std::vector<backend> &candidates, const std::vector<instance_id> &tried);

/// Chooses the backend for the next request, or nullptr if all candidates are in \a tried. Backends that are avoided come last.
/// Groups: the one with the fewest requests of this daemon per slot, weighted by slowness; equals take turns. Plain replicas: the one with
/// the earliest expected response.
/// \a turn, a number that rises with each choice of the daemon, is stored in the loads of the backends whose turn it was. \a draw is a
/// random number that breaks ties and sets the first turn of new backends. With \a prefersNear a group in another data centre costs more;
/// without it all data centres are equal, so that no group is full while a more distant one has free slots.
const backend *chooseBackend(const std::vector<backend> &candidates,
                             const std::vector<instance_id> &tried,
                             const data_centre_id &dataCentre,
                             instant now,
                             std::uint64_t turn,
                             std::uint64_t draw,
                             bool prefersNear = false);

} // namespace vetchpost
