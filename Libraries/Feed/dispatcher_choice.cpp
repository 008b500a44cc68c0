// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/dispatcher_choice.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

/// The number of dispatchers shrinks only when the demand is below this part of what the smaller number serves: each change of the number
/// moves most groups to another dispatcher, which knows nothing of the requests that run there.
constexpr double shrinkShare = 0.7;

/// The number of models that each candidate dispatches, by its address.
using model_counts = std::map<endpoint, int>;

/// Returns the candidate with the largest processor share for each model that it would dispatch, or nullptr if all are excluded.
const dispatcher_candidate *
bestCandidate(const std::vector<dispatcher_candidate> &candidates, const std::set<endpoint> &excluded, const model_counts &counts)
{
    const auto value = [&](const dispatcher_candidate &candidate) {
        const auto found = counts.find(candidate.daemon.address);
        return candidate.processorShare / (1 + (found == counts.end() ? 0 : found->second));
    };
    const dispatcher_candidate *best = nullptr;
    for (const auto &candidate : candidates) {
        const bool isAvailable = candidate.processorShare > 0 && !excluded.contains(candidate.daemon.address);
        if (isAvailable && (best == nullptr || value(candidate) > value(*best))) {
            best = &candidate;
        }
    }
    return best;
}

void recordPresence(dispatcher_choice &choice, const std::vector<dispatcher_candidate> &candidates, instant now)
{
    for (const auto &candidate : candidates) {
        if (candidate.processorShare > 0) {
            auto &until = choice.presentUntil[candidate.daemon.address];
            until = std::max(until, now + dispatcherAbsenceTime);
        } else {
            choice.presentUntil.erase(candidate.daemon.address);
        }
    }
    std::erase_if(choice.presentUntil, [&](const auto &entry) { return entry.second <= now; });
}

} // namespace

void beginChoice(dispatcher_choice &choice, const dispatcher_list &list, instant now)
{
    choice.list = list;
    choice.presentUntil.clear();
    for (const auto &model : list.models) {
        for (const auto &dispatcher : model.dispatchers) {
            choice.presentUntil[dispatcher.address] = now + dispatcherTakeoverTime;
        }
    }
}

void chooseDispatchers(dispatcher_choice &choice,
                       const std::vector<dispatcher_candidate> &candidates,
                       const std::vector<model_demand> &demand,
                       instant now)
{
    recordPresence(choice, candidates, now);
    dispatcher_list next;
    model_counts counts;
    // The dispatchers that stay are known before new ones are chosen, so that the models are spread over the daemons.
    std::vector<std::vector<bool>> isPresent;
    for (const auto &model : demand) {
        const auto *known = findDispatchers(choice.list, model.service, model.model);
        next.models.push_back({model.service, model.model, known == nullptr ? std::vector<named_dispatcher>() : known->dispatchers});
        auto &present = isPresent.emplace_back();
        for (const auto &dispatcher : next.models.back().dispatchers) {
            present.push_back(choice.presentUntil.contains(dispatcher.address));
            counts[dispatcher.address] += present.back() ? 1 : 0;
        }
    }
    for (std::size_t i = 0; i < demand.size(); ++i) {
        auto &dispatchers = next.models[i].dispatchers;
        auto &present = isPresent[i];
        const auto needed = static_cast<std::size_t>(dispatchersNeeded(demand[i].outstanding, static_cast<int>(dispatchers.size())));
        for (; dispatchers.size() > needed; dispatchers.pop_back(), present.pop_back()) {
            counts[dispatchers.back().address] -= present.back() ? 1 : 0;
        }
        dispatchers.resize(needed);
        present.resize(needed, false);
        std::set<endpoint> named;
        for (std::size_t place = 0; place < needed; ++place) {
            if (present[place]) {
                named.insert(dispatchers[place].address);
            }
        }
        for (std::size_t place = 0; place < needed; ++place) {
            if (present[place]) {
                continue;
            }
            const auto *best = bestCandidate(candidates, named, counts);
            if (best != nullptr) {
                dispatchers[place] = best->daemon;
                present[place] = true;
                named.insert(best->daemon.address);
                ++counts[best->daemon.address];
            }
        }
        // Places that no daemon can fill are closed.
        std::size_t place = 0;
        std::erase_if(dispatchers, [&](const named_dispatcher & /*dispatcher*/) { return !present[place++]; });
    }
    std::erase_if(next.models, [](const model_dispatchers &model) { return model.dispatchers.empty(); });
    choice.list = std::move(next);
}

// The source replaces a named dispatcher that is no longer reported.
std::vector<dispatcher_candidate> reportedCandidates(std::vector<dispatcher_candidate> candidates, const dispatcher_list &list)
{
    const auto isNamed = [&](const dispatcher_candidate &candidate) {
        return std::any_of(list.models.begin(), list.models.end(), [&](const model_dispatchers &model) {
            return std::find(model.dispatchers.begin(), model.dispatchers.end(), candidate.daemon) != model.dispatchers.end();
        });
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const auto &left, const auto &right) {
        return std::pair(isNamed(left), left.processorShare) > std::pair(isNamed(right), right.processorShare);
    });
    const auto named = std::count_if(candidates.begin(), candidates.end(), isNamed);
    candidates.resize(std::min(candidates.size(), std::max(candidatesPerSubscription, static_cast<std::size_t>(named))));
    return candidates;
}

int dispatchersNeeded(int outstanding, int present)
{
    const auto bounded = [](int count) { return std::clamp(count, 1, maxDispatchersPerModel); };
    const auto wanted = bounded((outstanding + requestsPerDispatcher - 1) / requestsPerDispatcher);
    const auto kept = bounded(present);
    if (wanted >= kept) {
        return wanted;
    }
    // The smallest number that the demand fills by no more than shrinkShare.
    const auto reduced = bounded(static_cast<int>(outstanding / (requestsPerDispatcher * shrinkShare)) + 1);
    return std::min(kept, reduced);
}

} // namespace vetchpost
