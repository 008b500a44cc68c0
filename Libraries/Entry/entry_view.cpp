// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_view.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace vetchpost {

namespace {

/// What a replica in another data centre costs more, in outstanding requests: bytes between data centres are paid for, and other daemons
/// there load it as well.
constexpr double otherDataCentreCost = 0.3;
/// The same for a group while little is late: the near one is taken until it holds two requests of this daemon more than a far one, so
/// that fewer bytes go between data centres.
constexpr double otherDataCentreCostInCalm = 1.3;
/// A replica that was never tried counts as this quick (milliseconds).
constexpr double assumedAnswerTime = 100;
/// A place counts as slow from so many times the usual time of its kind on: prompts differ that much.
constexpr double slowFactor = 2;
/// After so long half of what was measured is forgotten, so that a place that was slow once is tried again.
constexpr duration forgetting(2000);

/// The middle one (the lower of two) of the known times to the first event; 0 where none is known.
double usualTime(const std::vector<backend> &candidates)
{
    std::vector<double> times;
    for (const auto &candidate : candidates) {
        if (const auto time = candidate.load->answerTime.load(); time > 0) {
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

/// How many times as slow as usual a place is, 1 within the usual.
double slowness(const backend_load &load, double usual, instant now)
{
    const auto times = usual > 0 ? load.answerTime.load() / usual : 1;
    if (times < slowFactor) {
        return 1;
    }
    const auto age = static_cast<double>(now.time_since_epoch().count() - load.answerTimeAt.load());
    return 1 + (times - 1) * std::exp2(-age / static_cast<double>(forgetting.count()));
}

/// Replicas of a plain service differ in speed for good, and each daemon sends them enough to know it.
double costOfReplica(const backend &candidate, const data_centre_id &dataCentre)
{
    const auto &load = *candidate.load;
    const auto time = load.answerTime.load();
    const auto distance = candidate.dataCentre == dataCentre ? 0 : otherDataCentreCost;
    return (1 + load.outstanding.load() + distance) * (time > 0 ? time : assumedAnswerTime) / std::max(1, candidate.slots);
}

double costOfGroup(const backend &candidate, double distance, double usual, instant now)
{
    return (1 + candidate.load->outstanding.load() + distance) * slowness(*candidate.load, usual, now) / std::max(1, candidate.slots);
}

/// A place that is new here takes its first turn anywhere among the others' turns: if all daemons began with it, it would be full at once.
void placeNew(const std::vector<backend> &candidates, std::uint64_t turn, std::uint64_t draw)
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

bool isAmong(const std::vector<instance_id> &tried, const backend &candidate)
{
    return std::find(tried.begin(), tried.end(), candidate.replica) != tried.end();
}

bool isPassedOver(const backend_load &load, instant now)
{
    return load.avoidedUntil.load() > now.time_since_epoch().count() || isQuiet(load, now);
}

} // namespace

void avoid(backend_load &load, instant now)
{
    load.avoidedUntil = (now + avoidance).time_since_epoch().count();
}

void noteRejection(backend_load &load, instant now)
{
    // Beyond this many the time no longer grows.
    constexpr int mostDoublings = 3;
    const auto doublings = std::min(load.rejections.fetch_add(1), mostDoublings);
    const auto time = std::min(firstRejectionAvoidance * (1 << doublings), longestRejectionAvoidance);
    load.avoidedUntil = std::max(load.avoidedUntil.load(), (now + time).time_since_epoch().count());
}

void noteAdmission(backend_load &load)
{
    load.rejections = 0;
}

bool isQuiet(const backend_load &load, instant now)
{
    const auto last = load.lastProgress.load();
    return load.outstanding.load() > 0 && last > 0 && now.time_since_epoch().count() - last > quietPause.count();
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
    // A group that was formed anew, and a replica that started again, begin with a clean record.
    const auto key = replica.id.value() + "/" + std::to_string(replica.life.value()) + "/" + std::to_string(formed.value());
    auto load = m_loads[key].lock();
    if (!load) {
        load = std::make_shared<backend_load>();
        m_loads[key] = load;
    }
    return {replica.id, replica.address, replica.dataCentre, group, std::max(1, replica.slots), std::move(load), replica.life};
}

std::shared_ptr<const entry_view> entry_view_builder::build(std::shared_ptr<const route_table> routes,
                                                            const replica_directory &directory,
                                                            bool isListed,
                                                            const data_centre_id &dataCentre)
{
    auto view = std::make_shared<entry_view>();
    view->isListed = isListed;
    view->dataCentre = dataCentre;
    if (routes) {
        for (const auto &service : routes->configuration().services) {
            if (!service.engine) {
                continue;
            }
            for (const auto &group : groupsOf(directory, service.id)) {
                for (const auto &model : service.engine->models) {
                    if (model.id == group.model && takesRequests(group, model.size)) {
                        view->groups[{service.id, model.id}].push_back(makeBackend(*group.head(), group.id, group.formed));
                    }
                }
            }
        }
        for (const auto &[id, replica] : directory.replicas) {
            const auto *service = routes->findService(replica.service);
            if (service != nullptr && !service->engine && !replica.isDraining) {
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
    return std::any_of(candidates.begin(), candidates.end(), [&](const backend &candidate) { return !isAmong(tried, candidate); });
}

// A daemon among many holds a hundredth of a group's requests: their number tells little, and the smoothed time to the first event is from
// seconds ago. Taking turns spreads the requests of all daemons more evenly than either, and than numbers that all daemons share at long
// intervals: with these all run to the same place.
const backend *chooseBackend(const std::vector<backend> &candidates,
                             const std::vector<instance_id> &tried,
                             const data_centre_id &dataCentre,
                             instant now,
                             std::uint64_t turn,
                             std::uint64_t draw,
                             bool prefersNear)
{
    placeNew(candidates, turn, draw);
    const auto usual = usualTime(candidates);
    // The best place, and the best among those in trouble.
    std::array<const backend *, 2> best{};
    std::array<std::pair<double, std::uint64_t>, 2> least;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[(i + draw) % candidates.size()];
        if (isAmong(tried, candidate)) {
            continue;
        }
        const auto distance = prefersNear && candidate.dataCentre != dataCentre ? otherDataCentreCostInCalm : 0;
        const auto cost = candidate.group.isEmpty() ? costOfReplica(candidate, dataCentre) : costOfGroup(candidate, distance, usual, now);
        const std::pair next(cost, candidate.load->lastTurn.load());
        const std::size_t kind = isPassedOver(*candidate.load, now) ? 1 : 0;
        if (best.at(kind) == nullptr || next < least.at(kind)) {
            best.at(kind) = &candidate;
            least.at(kind) = next;
        }
    }
    if (best[0] != nullptr && best[1] != nullptr && least[1] < least[0]) {
        // Its turn is over, so that not all daemons come back to it at once.
        best[1]->load->lastTurn = turn;
    }
    const auto *chosen = best[0] == nullptr ? best[1] : best[0];
    if (chosen != nullptr) {
        chosen->load->lastTurn = turn;
    }
    return chosen;
}

} // namespace vetchpost
