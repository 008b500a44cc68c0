// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_view.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// What a place in another data centre costs more, in outstanding requests: bytes between data centres are paid for, and other daemons
/// there load it as well.
constexpr double otherDataCentreCost = 0.3;
/// A place that was never tried counts as this quick (milliseconds).
constexpr double assumedAnswerTime = 100;

double costOf(const backend &candidate, const data_centre_id &dataCentre)
{
    const auto &load = *candidate.load;
    const auto time = load.answerTime.load();
    const auto distance = candidate.dataCentre == dataCentre ? 0 : otherDataCentreCost;
    return (1 + load.outstanding.load() + distance) * (time > 0 ? time : assumedAnswerTime) / std::max(1, candidate.slots);
}

} // namespace

void avoid(backend_load &load, instant now)
{
    load.avoidedUntil = (now + avoidance).time_since_epoch().count();
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
    // A group that was formed anew starts with a clean record.
    const auto key = replica.id.value() + "/" + std::to_string(formed.value());
    auto load = m_loads[key].lock();
    if (!load) {
        load = std::make_shared<backend_load>();
        m_loads[key] = load;
    }
    return {replica.id, replica.address, replica.dataCentre, group, std::max(1, replica.slots), std::move(load)};
}

std::shared_ptr<const entry_view>
entry_view_builder::build(std::shared_ptr<const route_table> routes, const replica_directory &directory, const data_centre_id &dataCentre)
{
    auto view = std::make_shared<entry_view>();
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

const backend *chooseBackend(const std::vector<backend> &candidates,
                             const std::vector<instance_id> &tried,
                             const data_centre_id &dataCentre,
                             instant now,
                             std::uint64_t draw)
{
    const backend *best = nullptr;
    std::pair<bool, double> bestCost;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[(i + draw) % candidates.size()];
        if (std::find(tried.begin(), tried.end(), candidate.replica) != tried.end()) {
            continue;
        }
        const bool isAvoided = candidate.load->avoidedUntil.load() > now.time_since_epoch().count() || isQuiet(*candidate.load, now);
        const std::pair cost(isAvoided, costOf(candidate, dataCentre));
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace vetchpost
