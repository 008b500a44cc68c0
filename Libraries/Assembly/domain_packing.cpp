// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/domain_packing.h"

#include <algorithm>
#include <tuple>

namespace vetchpost {

namespace {

int countOf(const std::map<model_id, int> &counts, const model_id &model)
{
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

int contributionOf(const packing_group &group, const model_id &model, packing_basis basis)
{
    return basis == packing_basis::ready ? countOf(group.ready, model) : group.alive;
}

const packing_model *findModel(const std::vector<packing_model> &models, const model_id &id)
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const packing_model &model) { return model.id == id; });
    return found == models.end() ? nullptr : &*found;
}

/// Whether the groups' models can spare them for \a needy. The present fraction of each must stay above that of the short model, so that
/// the short model can never take the place of one that is then shorter, and two models never close each other's groups in turn.
bool maySpare(const std::vector<const packing_group *> &closed,
              const packing_model &needy,
              const std::vector<packing_model> &models,
              const packing_limits &limits)
{
    std::map<model_id, int> counts;
    for (const auto *group : closed) {
        ++counts[group->model];
    }
    const bool areSeveral = closed.size() > 1;
    if (areSeveral && !limits.maySeveral) {
        return false;
    }
    const auto fraction = presentFraction(needy);
    const bool isScarce = fraction < limits.scarcity;
    return std::all_of(counts.begin(), counts.end(), [&](const auto &entry) {
        const auto *model = findModel(models, entry.first);
        if (model == nullptr) {
            return false;
        }
        auto after = *model;
        after.present -= entry.second;
        const auto remaining = presentFraction(after);
        const bool isLarger = model->size > needy.size;
        if (isScarce || (!areSeveral && !isLarger)) {
            return remaining >= fraction + limits.margin;
        }
        // A larger group takes much of a domain, and the larger model is the harder one to find room for.
        return !isLarger && remaining >= 1 && entry.second <= model->unneeded;
    });
}

/// The fewest groups of the domain that supply the missing replicas; empty if all of them do not.
std::vector<const packing_group *> groupsToClose(const packing_domain &domain,
                                                 const packing_model &needy,
                                                 bool mayCloseLarger,
                                                 int missing,
                                                 packing_basis basis,
                                                 const std::vector<packing_model> &models)
{
    const auto contribution = [&](const packing_group *group) { return contributionOf(*group, needy.id, basis); };
    std::vector<const packing_group *> candidates;
    for (const auto &group : domain.groups) {
        const auto *model = findModel(models, group.model);
        const bool isAllowed = model != nullptr && model->id != needy.id && (model->size < needy.size || mayCloseLarger);
        if (isAllowed && contribution(&group) > 0) {
            candidates.push_back(&group);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&](const packing_group *left, const packing_group *right) {
        return std::tuple(contribution(left), countOf(left->ready, needy.id))
            > std::tuple(contribution(right), countOf(right->ready, needy.id));
    });
    std::vector<const packing_group *> chosen;
    auto left = missing;
    for (const auto *group : candidates) {
        if (left > 0) {
            chosen.push_back(group);
            left -= contribution(group);
        }
    }
    if (left > 0) {
        return {};
    }
    // The last group may make an earlier one unnecessary.
    for (auto group = chosen.begin(); group != chosen.end();) {
        const bool isUnnecessary = left + contribution(*group) <= 0;
        left += isUnnecessary ? contribution(*group) : 0;
        group = isUnnecessary ? chosen.erase(group) : std::next(group);
    }
    return chosen;
}

std::optional<packing_choice> choiceIn(const packing_domain &domain,
                                       const packing_model &needy,
                                       const std::vector<packing_model> &models,
                                       const packing_limits &limits,
                                       packing_basis basis,
                                       bool mayCloseLarger)
{
    const auto missing = needy.size - contributionOf(domain.unassigned, needy.id, basis);
    packing_choice choice;
    choice.domain = domain.id;
    auto ready = countOf(domain.unassigned.readyOrLoading, needy.id);
    if (missing > 0) {
        const auto closed = groupsToClose(domain, needy, mayCloseLarger, missing, basis, models);
        if (closed.empty() || !maySpare(closed, needy, models, limits)) {
            return std::nullopt;
        }
        for (const auto *group : closed) {
            choice.closed.push_back(group->id);
            choice.closedReplicas += group->alive;
            ready += countOf(group->readyOrLoading, needy.id);
        }
    }
    choice.requiredLoads = basis == packing_basis::ready ? 0 : std::max(0, needy.size - ready);
    return choice;
}

} // namespace

double presentFraction(const packing_model &model)
{
    return model.wanted == 0 ? 1.0 : static_cast<double>(model.present) / model.wanted;
}

std::optional<packing_choice> choosePacking(const packing_model &needy,
                                            const std::vector<packing_model> &models,
                                            const std::vector<packing_domain> &domains,
                                            const packing_limits &limits,
                                            packing_basis basis)
{
    std::optional<packing_choice> best;
    const auto cost = [](const packing_choice &choice) { return std::tuple(choice.requiredLoads, choice.closedReplicas); };
    for (const auto &domain : domains) {
        for (const bool mayCloseLarger : {false, true}) {
            auto choice = choiceIn(domain, needy, models, limits, basis, mayCloseLarger);
            if (choice && (!best || cost(*choice) < cost(*best))) {
                best = std::move(choice);
            }
        }
    }
    return best;
}

} // namespace vetchpost
