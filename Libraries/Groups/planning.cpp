// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Groups/planning.h"

#include "Libraries/Groups/group_standing.h"
#include "Libraries/Groups/planning_table.h"
#include "Libraries/Groups/repair_choice.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace vetchpost {

namespace {

model_choice choiceOf(const deployment &wanted)
{
    return {wanted.model, wanted.adapter, wanted.version};
}

void note(planning_table &table, const group_id &group, plan_action action, std::string why, std::vector<repair_option> alternatives = {})
{
    table.decisions.push_back({group, action, std::move(why), std::move(alternatives)});
}

group_standing standingIn(const planning_table &table, const allotted_group &group)
{
    return table.standings.at(group.id);
}

bool isDrained(const planning_table &table, const allotted_group &group)
{
    if (standingIn(table, group) == group_standing::broken || standingIn(table, group) == group_standing::forming) {
        return true;
    }
    const auto draining = duration(table.input.calendarNow - group.drainingSince);
    if (group.drainingSince == 0 || draining < table.policy.drainSettle) {
        return false;
    }
    const auto *leader = findInstance(table.input.tracker, group.members.front().instance);
    const auto &load = leader->lastState->load;
    return (load.running == 0 && load.queued == 0) || draining >= table.policy.drainTimeout;
}

/// Begins to drain a group, or says that it is drained.
bool drain(planning_table &table, allotted_group &group, const std::string &why)
{
    if (isDrained(table, group)) {
        return true;
    }
    if (group.drainingSince == 0) {
        group.drainingSince = table.input.calendarNow;
        note(table, group.id, plan_action::drain, why);
    }
    return false;
}

std::vector<group_id> groupsOf(const planning_table &table, const deployment_id &deployment)
{
    std::vector<group_id> ids;
    for (const auto &group : table.next.groups) {
        if (group.deployment == deployment) {
            ids.push_back(group.id);
        }
    }
    return ids;
}

/// The groups that are given up first: those that do not serve, then those that already drain, then the youngest.
std::vector<group_id> inOrderOfRemoval(planning_table &table, const deployment_id &deployment)
{
    struct ranked_group
    {
        std::tuple<bool, bool, std::uint64_t> rank;
        group_id id;
    };
    std::vector<ranked_group> ranked;
    for (const auto &group : table.next.groups) {
        if (group.deployment == deployment) {
            const bool isServing = standingIn(table, group) == group_standing::serving;
            ranked.push_back({{isServing, group.drainingSince == 0, ~group.current.value()}, group.id});
        }
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const ranked_group &left, const ranked_group &right) { return left.rank < right.rank; });
    std::vector<group_id> ids;
    ids.reserve(ranked.size());
    for (const auto &entry : ranked) {
        ids.push_back(entry.id);
    }
    return ids;
}

/// How many more groups of a deployment may be taken out of service in this round because there are more than wanted.
std::size_t surplusAllowance(const planning_table &table, const std::vector<group_id> &ids)
{
    std::size_t draining = 0;
    for (const auto &group : table.next.groups) {
        const bool isOfDeployment = std::find(ids.begin(), ids.end(), group.id) != ids.end();
        draining += isOfDeployment && group.drainingSince != 0 ? 1U : 0U;
    }
    const auto share = static_cast<std::size_t>(static_cast<double>(ids.size()) * table.policy.surplusShare);
    const auto most = std::max<std::size_t>(1, share);
    return most > draining ? most - draining : 0;
}

/// How many replicas are wanted; nothing where the share of this data centre is not known.
std::optional<std::size_t> wantedReplicas(const planning_table &table, const deployment_id &deployment)
{
    const auto want = table.wants.find(deployment);
    if (want == table.wants.end()) {
        return 0;
    }
    const auto replicas = want->second->replicas;
    return replicas ? std::optional(static_cast<std::size_t>(*replicas)) : std::nullopt;
}

/// 1. Groups that nobody wants any more drain and go, a share of them at a time.
void removeUnwanted(planning_table &table, std::vector<group_id> &kept)
{
    std::set<deployment_id> deployments;
    for (const auto &group : table.next.groups) {
        deployments.insert(group.deployment);
    }
    for (const auto &deployment : deployments) {
        auto ids = inOrderOfRemoval(table, deployment);
        const auto wanted = wantedReplicas(table, deployment).value_or(ids.size());
        const auto surplus = ids.size() > wanted ? ids.size() - wanted : 0;
        auto allowance = surplusAllowance(table, ids);
        for (std::size_t i = 0; i < ids.size(); ++i) {
            auto &group = *findPlannedGroup(table, ids[i]);
            const bool isStillServing = group.drainingSince == 0 && standingIn(table, group) == group_standing::serving;
            if (i >= surplus) {
                kept.push_back(ids[i]);
                continue;
            }
            if (isStillServing && allowance == 0) {
                continue;
            }
            allowance -= isStillServing ? 1 : 0;
            if (drain(table, group, "more replicas than wanted")) {
                note(table, ids[i], plan_action::remove, "more replicas than wanted");
                removeGroup(table, ids[i]);
            }
        }
    }
}

/// Whether the deployment can do without one more serving group.
bool canSpareOne(planning_table &table, const deployment_want &want)
{
    int serving = 0;
    for (const auto &id : groupsOf(table, want.wanted.id)) {
        const auto &group = *findPlannedGroup(table, id);
        serving += standingIn(table, group) == group_standing::serving && group.drainingSince == 0 ? 1 : 0;
    }
    if (!want.replicas) {
        return false;
    }
    constexpr int wholePercent = 100;
    const auto kept = (*want.replicas * want.wanted.keptPercent + wholePercent - 1) / wholePercent;
    return serving - 1 >= kept;
}

/// 2. Groups with another model, adapter or version are changed one after another, as far as the kept share allows.
void rollModels(planning_table &table, const std::vector<group_id> &kept)
{
    for (const auto &id : kept) {
        auto &group = *findPlannedGroup(table, id);
        const auto &want = *wantOf(table, group);
        if (group.choice == choiceOf(want.wanted) && group.enginesCheckFencing == want.wanted.enginesCheckFencing) {
            continue;
        }
        const bool isServing = standingIn(table, group) == group_standing::serving;
        if (isServing && group.drainingSince == 0 && !canSpareOne(table, want)) {
            continue;
        }
        const auto loads = static_cast<int>(group.members.size());
        if (!drain(table, group, "another model or version is wanted") || (loads > loadsLeft(table) && table.loads > 0)) {
            continue;
        }
        group.choice = choiceOf(want.wanted);
        group.enginesCheckFencing = want.wanted.enginesCheckFencing;
        markChanged(table, group);
        table.loads += loads;
        note(table, id, plan_action::change_model, "another model or version is wanted");
    }
}

/// A group that no longer needs to drain goes back to work.
void resumeDrained(planning_table &table, const std::vector<group_id> &kept)
{
    for (const auto &id : kept) {
        if (table.victims.contains(id) || findPlannedGroup(table, id) == nullptr) {
            continue;
        }
        auto &group = *findPlannedGroup(table, id);
        const auto &want = *wantOf(table, group);
        const bool needsChange = group.choice != choiceOf(want.wanted) || !leavingRanks(group, table.input.tracker).empty();
        if (group.drainingSince != 0 && !needsChange) {
            group.drainingSince = 0;
            note(table, id, plan_action::resume, "it is wanted again");
        }
    }
}

std::optional<broken_group> brokenGroup(planning_table &table, const group_id &id)
{
    auto &group = *findPlannedGroup(table, id);
    const auto &tracker = table.input.tracker;
    broken_group broken;
    broken.id = id;
    for (const auto rank : missingRanks(group, tracker)) {
        const auto *tracked = findInstance(tracker, group.members[rank].instance);
        const auto since = tracked != nullptr ? tracked->missingSince : std::nullopt;
        // An instance that nobody has heard of yet, or that the list dropped, is gone without a known time.
        const auto age = since ? table.input.now - *since : table.policy.missingGrace;
        if (age >= table.policy.missingGrace) {
            broken.lostRanks.push_back(rank);
            broken.age = std::max(broken.age, age);
        }
    }
    broken.isLeaving = broken.lostRanks.empty();
    const auto leaving = leavingRanks(group, tracker);
    if (!leaving.empty() && drain(table, group, "a member is about to leave")) {
        broken.lostRanks.insert(broken.lostRanks.end(), leaving.begin(), leaving.end());
        std::sort(broken.lostRanks.begin(), broken.lostRanks.end());
    }
    return broken.lostRanks.empty() ? std::nullopt : std::optional(broken);
}

/// 3. Broken groups are repaired, those of the highest priority and with the fewest losses first.
void repairBroken(planning_table &table, const std::vector<group_id> &kept)
{
    std::vector<broken_group> broken;
    for (const auto &id : kept) {
        if (auto entry = brokenGroup(table, id)) {
            broken.push_back(std::move(*entry));
        }
    }
    const auto order = [&](const broken_group &entry) {
        const auto &want = *wantOf(table, *findPlannedGroup(table, entry.id));
        return std::tuple(-want.wanted.priority, entry.lostRanks.size(), entry.id);
    };
    std::stable_sort(
        broken.begin(), broken.end(), [&](const broken_group &left, const broken_group &right) { return order(left) < order(right); });
    while (!broken.empty()) {
        const auto group = broken.front();
        broken.erase(broken.begin());
        const auto *planned = findPlannedGroup(table, group.id);
        if (planned == nullptr || table.domains[planned->members.front().domain].isDark) {
            // Taken apart for another, or its whole domain went dark a moment ago and is waited for first.
            continue;
        }
        auto options = repairOptions(table, group, broken);
        const auto fits = [&](const repair_option &option) {
            return option.action == plan_action::wait || static_cast<int>(option.instances.size()) <= loadsLeft(table) || table.loads == 0;
        };
        const auto chosen = std::find_if(options.begin(), options.end(), fits);
        if (chosen == options.end()) {
            continue;
        }
        if (chosen->action == plan_action::preempt) {
            // The victim finishes what it holds first: a planned stop cuts nothing off.
            const auto &victim = chosen->sources.front();
            table.victims.insert(victim);
            if (!drain(table, *findPlannedGroup(table, victim), "its members go to " + group.id.value())) {
                continue;
            }
        }
        const auto why = fmt::format(
            "{} of {} members lost, expected {} s", group.lostRanks.size(), planned->members.size(), chosen->expectedTime.count() / 1000);
        applyRepair(table, group, *chosen);
        const auto isSource = [&](const broken_group &other) {
            return std::find(chosen->sources.begin(), chosen->sources.end(), other.id) != chosen->sources.end();
        };
        std::erase_if(broken, isSource);
        note(table, group.id, chosen->action, why, options);
    }
}

/// The domain for a new group: of those with room, the one that keeps the most standbys, since a lost member is replaced
/// fastest out of its own domain.
std::optional<fabric_domain_id> domainFor(const planning_table &table, std::size_t size)
{
    std::optional<fabric_domain_id> best;
    std::size_t mostFree = 0;
    for (const auto &[id, domain] : table.domains) {
        if (!domain.isDark && domain.free.size() >= size && domain.free.size() > mostFree) {
            best = id;
            mostFree = domain.free.size();
        }
    }
    return best;
}

void formGroup(planning_table &table, const deployment_want &want, const fabric_domain_id &domain)
{
    allotted_group group;
    group.deployment = want.wanted.id;
    group.choice = choiceOf(want.wanted);
    group.enginesCheckFencing = want.wanted.enginesCheckFencing;
    group.current = takeGeneration(table);
    group.id = group_id(fmt::format("{}-{}-{}", want.wanted.id.value(), table.input.dataCentre.value(), group.current.value()));
    const auto size = static_cast<std::size_t>(want.wanted.instancesPerReplica);
    // Instances that hold a rank's weights already keep that rank.
    auto pool = table.domains[domain].free;
    std::vector<instance_id> ranked(size);
    for (std::size_t rank = 0; rank < size; ++rank) {
        const auto holds = [&](const instance_id &instance) { return holdsWeights(table, instance, group.choice, rank); };
        if (const auto found = std::find_if(pool.begin(), pool.end(), holds); found != pool.end()) {
            ranked[rank] = *found;
            pool.erase(found);
        }
    }
    for (auto &instance : ranked) {
        if (instance.isEmpty()) {
            instance = *pool.begin();
            pool.erase(pool.begin());
        }
    }
    table.loads += loadsNeeded(table, group.choice, ranked);
    for (const auto &instance : ranked) {
        group.members.push_back(takeInstance(table, instance));
    }
    note(table, group.id, plan_action::form, fmt::format("a replica is missing, domain {} has room", domain.value()));
    table.standings[group.id] = group_standing::forming;
    table.next.groups.push_back(std::move(group));
}

/// 4. Missing replicas are formed where whole groups fit, the highest priority first, as fast as the weight store feeds.
void formMissing(planning_table &table)
{
    std::vector<const deployment_want *> wants;
    for (const auto &[id, want] : table.wants) {
        wants.push_back(want);
    }
    std::stable_sort(wants.begin(), wants.end(), [](const deployment_want *left, const deployment_want *right) {
        return left->wanted.priority > right->wanted.priority;
    });
    for (const auto *want : wants) {
        const auto size = static_cast<std::size_t>(want->wanted.instancesPerReplica);
        auto present = static_cast<int>(groupsOf(table, want->wanted.id).size());
        for (; present < want->replicas.value_or(0); ++present) {
            const auto domain = domainFor(table, size);
            if (!domain || (static_cast<int>(size) > loadsLeft(table) && table.loads > 0)) {
                break;
            }
            formGroup(table, *want, *domain);
        }
    }
}

constexpr std::array<std::string_view, 11> actionNames = {"wait",
                                                          "use_standby",
                                                          "use_donor",
                                                          "preempt",
                                                          "rebuild_elsewhere",
                                                          "span_domains",
                                                          "form",
                                                          "drain",
                                                          "change_model",
                                                          "remove",
                                                          "resume"};

} // namespace

std::string_view planActionName(plan_action action)
{
    return actionNames.at(static_cast<std::size_t>(action));
}

std::optional<std::string> viewGap(const planning_input &input, const planning_policy &policy)
{
    if (!input.wants) {
        return "the configuration has not been read";
    }
    if (!input.tracker.hasList) {
        return "the instance list has not been read";
    }
    if (input.now - input.viewSince >= policy.viewGrace) {
        return std::nullopt;
    }
    for (const auto &group : input.current.groups) {
        for (const auto &member : group.members) {
            const auto *tracked = findInstance(input.tracker, member.instance);
            if (tracked == nullptr || (!tracked->lastState && !tracked->missingSince)) {
                return fmt::format("nothing has been heard of {} yet", member.instance.value());
            }
        }
    }
    return std::nullopt;
}

planning_result planGroups(const planning_input &input, const planning_policy &policy)
{
    if (const auto gap = viewGap(input, policy)) {
        return {input.current, false, {{{}, plan_action::wait, *gap, {}}}};
    }
    auto table = makePlanningTable(input, policy);
    std::vector<group_id> kept;
    removeUnwanted(table, kept);
    rollModels(table, kept);
    repairBroken(table, kept);
    resumeDrained(table, kept);
    formMissing(table);
    planning_result result;
    result.hasChanged = table.next.groups != input.current.groups;
    if (result.hasChanged) {
        // Every write has a generation of its own, also one that only removes, so that orders to release outrank older ones.
        takeGeneration(table);
    }
    result.next = std::move(table.next);
    result.decisions = std::move(table.decisions);
    return result;
}

} // namespace vetchpost
