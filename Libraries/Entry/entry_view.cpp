// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_view.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace vetchpost {

namespace {

/// Additional cost of a replica in another data centre, in outstanding requests: traffic between data centres is paid for, and the daemons
/// there load the replica as well.
constexpr double remoteReplicaCost = 0.3;
/// Additional cost of a group in another data centre while near groups are preferred: a near group is chosen until it holds two more
/// requests of this daemon than a far one, which saves traffic between data centres.
constexpr double remoteGroupCost = 1.3;
/// Assumed for a replica without a measured response time (milliseconds).
constexpr double assumedResponseTime = 100;
/// A backend counts as slow from this multiple of the median response time on; smaller differences come from the prompts.
constexpr double slowThreshold = 2;
/// Half-life of a measured slowness, so that a backend which was slow once is tried again.
constexpr duration slownessHalfLife(2000);

/// The median (the lower of two middle values) of the known response times in milliseconds; 0 if none is known.
double medianResponseTime(const std::vector<backend> &candidates)
{
    std::vector<double> times;
    for (const auto &candidate : candidates) {
        if (const auto time = candidate.load->responseTime.load(); time > 0) {
            times.push_back(time);
        }
    }
    if (times.empty()) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

/// The ratio of a backend's response time to the usual one, which decays towards 1 with the age of the measurement; 1 below
/// slowThreshold.
double slownessFactor(const backend_load &load, double usual, instant now)
{
    const auto ratio = usual > 0 ? load.responseTime.load() / usual : 1;
    if (ratio < slowThreshold) {
        return 1;
    }
    const auto age = static_cast<double>(now.time_since_epoch().count() - load.responseTimeAt.load());
    return 1 + (ratio - 1) * std::exp2(-age / static_cast<double>(slownessHalfLife.count()));
}

/// The expected time to a response, in milliseconds per slot. Replicas of a plain service differ permanently in speed, and each daemon
/// sends them enough requests to measure it.
double costOfReplica(const backend &candidate, const data_centre_id &dataCentre)
{
    const auto &load = *candidate.load;
    const auto time = load.responseTime.load();
    const auto distance = candidate.dataCentre == dataCentre ? 0 : remoteReplicaCost;
    return (1 + load.outstanding.load() + distance) * (time > 0 ? time : assumedResponseTime) / std::max(1, candidate.slots);
}

/// The cost of a group in outstanding requests per slot.
double costOfGroup(const backend &candidate, double distance, double usual, instant now)
{
    return (1 + candidate.load->outstanding.load() + distance) * slownessFactor(*candidate.load, usual, now) / std::max(1, candidate.slots);
}

/// Sets the last turn of new backends to a random one among the others' turns. If all daemons chose a new backend first, it would be full
/// at once.
void assignFirstTurns(const std::vector<backend> &candidates, std::uint64_t turn, std::uint64_t draw)
{
    auto oldest = turn - 1;
    for (const auto &candidate : candidates) {
        const auto last = candidate.load->lastTurn.load();
        oldest = last > 0 ? std::min(oldest, last) : oldest;
    }
    for (const auto &candidate : candidates) {
        if (candidate.load->lastTurn.load() == 0) {
            candidate.load->lastTurn = oldest + draw % (turn - oldest);
        }
    }
}

bool wasTried(const std::vector<instance_id> &tried, const backend &candidate)
{
    return std::find(tried.begin(), tried.end(), candidate.replica) != tried.end();
}

} // namespace

bool isAvoided(const backend_load &load, instant now)
{
    return load.avoidedUntil.load() > now.time_since_epoch().count() || isQuiet(load, now);
}

void avoid(backend_load &load, instant now)
{
    load.avoidedUntil = (now + avoidanceTime).time_since_epoch().count();
}

void recordRejection(backend_load &load, instant now)
{
    // More doublings would exceed longestRejectionAvoidance.
    constexpr int mostDoublings = 3;
    const auto doublings = std::min(load.rejections.fetch_add(1), mostDoublings);
    const auto time = std::min(firstRejectionAvoidance * (1 << doublings), longestRejectionAvoidance);
    load.avoidedUntil = std::max(load.avoidedUntil.load(), (now + time).time_since_epoch().count());
}

void recordAdmission(backend_load &load)
{
    load.rejections = 0;
}

bool isQuiet(const backend_load &load, instant now)
{
    const auto last = load.lastProgress.load();
    return load.outstanding.load() > 0 && last > 0 && now.time_since_epoch().count() - last > quietTimeout.count();
}

const std::vector<backend> &entry_view::backends(const served_service &service, const model_id &model) const
{
    static const std::vector<backend> none;
    if (!service.engine) {
        const auto found = replicas.find(service.id);
        return found == replicas.end() ? none : found->second;
    }
    const auto found = groups.find({service.id, model});
    return found == groups.end() ? none : found->second;
}

backend entry_view_builder::makeBackend(const served_replica &replica, const group_id &group, formation formed)
{
    // A newly formed group and a restarted replica begin with a new load.
    const auto key = replica.id.value() + "/" + std::to_string(replica.incarnation.value()) + "/" + std::to_string(formed.value());
    auto load = m_loads[key].lock();
    if (!load) {
        load = std::make_shared<backend_load>();
        m_loads[key] = load;
    }
    return {replica.id,
            replica.address,
            replica.dataCentre,
            group,
            std::max(1, replica.slots),
            std::move(load),
            replica.incarnation,
            replica.coldUntil};
}

std::shared_ptr<const entry_view> entry_view_builder::build(std::shared_ptr<const route_table> routes,
                                                            const replica_directory &directory,
                                                            bool isListed,
                                                            const data_centre_id &dataCentre,
                                                            const std::optional<std::set<data_centre_id>> &evacuated)
{
    auto view = std::make_shared<entry_view>();
    view->isListed = isListed && evacuated;
    view->dataCentre = dataCentre;
    if (routes && evacuated) {
        for (const auto &service : routes->configuration().services) {
            if (!service.engine) {
                continue;
            }
            for (const auto &group : groupsOf(directory, service.id)) {
                for (const auto &model : service.engine->models) {
                    if (model.id == group.model && acceptsRequests(group, model.size) && !evacuated->contains(group.head()->dataCentre)) {
                        view->groups[{service.id, model.id}].push_back(makeBackend(*group.head(), group.id, group.formed));
                    }
                }
            }
        }
        for (const auto &[id, replica] : directory.replicas) {
            const auto *service = routes->findService(replica.service);
            const bool isEvacuated = evacuated->contains(replica.dataCentre);
            if (service != nullptr && !service->engine && !replica.isDraining && !isEvacuated) {
                view->replicas[replica.service].push_back(makeBackend(replica, {}, {}));
            }
        }
    }
    view->routes = std::move(routes);
    std::erase_if(m_loads, [](const auto &entry) { return entry.second.expired(); });
    return view;
}

bool hasUntried(const std::vector<backend> &candidates, const std::vector<instance_id> &tried)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const backend &candidate) { return !wasTried(tried, candidate); });
}

// One daemon among many holds about a hundredth of a group's requests, so that their number says little, and the smoothed time to the first
// event is seconds old. Taking turns spreads the requests of all daemons more evenly than either. It is also better than loads that all
// daemons share at long intervals, by which all of them choose the same backend.
const backend *chooseBackend(const std::vector<backend> &candidates,
                             const std::vector<instance_id> &tried,
                             const data_centre_id &dataCentre,
                             instant now,
                             std::uint64_t turn,
                             std::uint64_t draw,
                             bool prefersNear)
{
    assignFirstTurns(candidates, turn, draw);
    const auto usual = medianResponseTime(candidates);
    // The best backend, and the best among those that are avoided.
    std::array<const backend *, 2> best{};
    std::array<std::pair<double, std::uint64_t>, 2> least;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[(i + draw) % candidates.size()];
        if (wasTried(tried, candidate)) {
            continue;
        }
        const auto distance = prefersNear && candidate.dataCentre != dataCentre ? remoteGroupCost : 0;
        const auto cost = candidate.group.isEmpty() ? costOfReplica(candidate, dataCentre) : costOfGroup(candidate, distance, usual, now);
        const std::pair next(cost, candidate.load->lastTurn.load());
        const std::size_t kind = isAvoided(*candidate.load, now) ? 1 : 0;
        if (best.at(kind) == nullptr || next < least.at(kind)) {
            best.at(kind) = &candidate;
            least.at(kind) = next;
        }
    }
    if (best[0] != nullptr && best[1] != nullptr && least[1] < least[0]) {
        // The avoided backend loses its turn, so that not all daemons return to it at once.
        best[1]->load->lastTurn = turn;
    }
    const auto *chosen = best[0] == nullptr ? best[1] : best[0];
    if (chosen != nullptr) {
        chosen->load->lastTurn = turn;
    }
    return chosen;
}

} // namespace vetchpost
