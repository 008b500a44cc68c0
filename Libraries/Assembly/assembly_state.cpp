// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_state.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

std::string_view assemblyStageName(assembly_stage stage)
{
    switch (stage) {
    case assembly_stage::joining:
        return "joining";
    case assembly_stage::opening:
        return "opening";
    case assembly_stage::serving:
        return "serving";
    case assembly_stage::closing:
        return "closing";
    case assembly_stage::leaving:
        return "leaving";
    }
    return "joining";
}

std::map<model_id, int>
groupTargets(const engine_description &engine, const std::map<model_id, double> &shares, int replicas, double spareShare)
{
    std::map<model_id, int> targets;
    const auto usable = static_cast<double>(replicas) * (1 - spareShare);
    auto left = static_cast<int>(usable);
    std::vector<std::pair<double, const group_model *>> remainders;
    for (const auto &model : engine.models) {
        const auto exact = usable * shares.at(model.id) / std::max(1, model.size);
        const auto whole = static_cast<int>(exact);
        targets[model.id] = whole;
        left -= whole * model.size;
        remainders.emplace_back(exact - whole, &model);
    }
    // The remaining replicas go to the models that are furthest below their share, as far as they suffice for whole groups.
    std::stable_sort(remainders.begin(), remainders.end(), [](const auto &one, const auto &other) { return one.first > other.first; });
    for (const auto &[remainder, model] : remainders) {
        if (left >= model->size && remainder > 0) {
            ++targets[model->id];
            left -= model->size;
        }
    }
    return targets;
}

std::vector<model_group_counts> groupCounts(const assembly_state &state, const engine_description &engine)
{
    const auto shares = state.shares.values.empty() ? demandShares(state.demand, engine) : state.shares.values;
    const auto targets = groupTargets(engine, shares, state.usable, state.policy.spareShare);
    std::vector<model_group_counts> result;
    for (const auto &model : engine.models) {
        const auto held = state.demand.outstanding.find(model.id);
        model_group_counts standing{
            model.id, targets.at(model.id), held == state.demand.outstanding.end() ? 0 : static_cast<int>(held->second)};
        for (const auto &[id, group] : state.groups) {
            if (group.model == model.id && !state.evacuatedGroups.contains(id)) {
                const bool isForming = group.stage == assembly_stage::joining || group.stage == assembly_stage::opening;
                standing.serving += group.stage == assembly_stage::serving ? 1 : 0;
                standing.forming += isForming ? 1 : 0;
                standing.ending += group.stage == assembly_stage::closing || group.stage == assembly_stage::leaving ? 1 : 0;
            }
        }
        result.push_back(standing);
    }
    return result;
}

namespace {

planned_member *findMember(planned_group &group, const instance_id &instance)
{
    const auto found = std::find_if(
        group.members.begin(), group.members.end(), [&](const planned_member &member) { return member.instance == instance; });
    return found == group.members.end() ? nullptr : &*found;
}

void recordJoinResult(assembly_state &state, planned_group &group, planned_member &member, order_result result, instant now)
{
    if (result == order_result::accepted || result == order_result::already_in_effect) {
        member.hasJoined = true;
    } else if (result == order_result::conflict && ++member.conflicts < state.policy.maxConflicts) {
        member.nextOrder = now + state.policy.conflictRetryDelay;
    } else if (result != order_result::unknown) {
        // The replica cannot join: the next round forms the group from others.
        state.avoidedUntil[member.instance] = now + state.policy.refusalBackoff;
        group.why = "a member did not join: " + member.instance.value();
    }
}

/// Updates the number of orders that a replica has accepted; removes it if the answer does not show whether the order was accepted.
void updateAcceptedOrders(assembly_state &state, const replica_order &order, const order_answer &answer)
{
    if (answer.result == order_result::withheld) {
        return;
    }
    if (order.kind == order_kind::probe) {
        const bool isFromAnotherIncarnation
            = answer.incarnation != replica_incarnation() && isAnotherIncarnation(answer.incarnation, order.incarnation);
        if (answer.result == order_result::accepted && !isFromAnotherIncarnation) {
            state.acceptedOrders[order.to] = answer.acceptedOrders;
        }
        return;
    }
    const auto known = state.acceptedOrders.find(order.to);
    if (known == state.acceptedOrders.end()) {
        return;
    }
    if (answer.result == order_result::accepted) {
        ++known->second;
    } else if (answer.result != order_result::already_in_effect) {
        state.acceptedOrders.erase(known);
    }
}

/// Whether the replica has restarted since the order was planned, so that the answer does not concern its current incarnation.
bool isFromEarlierIncarnation(const assembly_state &state, const replica_order &order)
{
    const auto incarnation = state.incarnations.find(order.to);
    return incarnation != state.incarnations.end() && isAnotherIncarnation(incarnation->second, order.incarnation);
}

/// Whether a probe shows that the replica has joined a group of another coordinator since its entry was read. Its head may serve, which
/// only its entry tells; a group of this term has been planned here.
bool hasJoinedElsewhere(const assembly_state &state, const replica_order &order, const order_answer &answer)
{
    const auto &membership = answer.membership;
    return answer.result == order_result::accepted && membership && membership->formed > order.listedFormation
        && membership->formed != order.formed && membership->formed.value() / formationsPerTerm != state.term;
}

bool isDone(order_result result)
{
    return result == order_result::accepted || result == order_result::already_in_effect;
}

/// Records the result of an order to leave a group that is no longer planned.
void recordRelease(assembly_state &state, const replica_order &order, order_result result, instant now)
{
    const auto found = state.releases.find(order.to);
    if (order.kind != order_kind::leave || found == state.releases.end() || found->second.formed != order.formed) {
        return;
    }
    auto &release = found->second;
    release.isOrderPending = false;
    release.nextOrder = now + state.policy.orderRetryDelay;
    release.hasLeft = release.hasLeft || isDone(result);
}

} // namespace

bool isStillDue(const replica_order &order, bool isBeforeTraffic)
{
    return isBeforeTraffic || !order.isFreeLoad;
}

void recordOrderResult(assembly_state &state, const replica_order &order, const order_answer &answer, instant now)
{
    if (isFromEarlierIncarnation(state, order)) {
        return;
    }
    const auto result = answer.result;
    updateAcceptedOrders(state, order, answer);
    if (order.kind == order_kind::stage) {
        if (!isDone(result)) {
            state.stagings.erase(order.to);
        }
        if (!isDone(result) && result != order_result::withheld) {
            state.avoidedUntil[order.to] = now + state.policy.refusalBackoff;
        }
        return;
    }
    const auto found = state.groups.find(order.group);
    if (found == state.groups.end() || found->second.formed != order.formed) {
        recordRelease(state, order, result, now);
        return;
    }
    auto &group = found->second;
    auto *member = findMember(group, order.to);
    if (member == nullptr) {
        return;
    }
    member->isOrderPending = false;
    member->nextOrder = now + state.policy.orderRetryDelay;
    if (result == order_result::withheld) {
        member->nextOrder = now;
        return;
    }
    if (order.kind == order_kind::probe) {
        // The join can follow at once.
        member->nextOrder = result == order_result::accepted ? now : member->nextOrder;
        if (result == order_result::gone) {
            recordJoinResult(state, group, *member, result, now);
        } else if (hasJoinedElsewhere(state, order, answer)) {
            // Either the entry or the answer is out of date.
            state.acceptedOrders.erase(order.to);
            recordJoinResult(state, group, *member, order_result::conflict, now);
        }
    } else if (order.kind == order_kind::join) {
        recordJoinResult(state, group, *member, result, now);
    } else if (order.kind == order_kind::open) {
        group.isOpenUnconfirmed = group.isOpenUnconfirmed || result == order_result::unknown;
    } else if (order.kind == order_kind::leave) {
        group.hasLeft = group.hasLeft || result != order_result::unknown;
    } else if (order.kind == order_kind::close) {
        // A head that refuses to close is not open. An answer to an order to finish does not confirm a later order to cut.
        const bool isLatest = order.method == group.closing;
        group.hasAcceptedClose = group.hasAcceptedClose || (isLatest && result != order_result::unknown && result != order_result::gone);
        if (result == order_result::gone && !group.headLostSince) {
            group.headLostSince = now;
        }
    }
}

} // namespace vetchpost
