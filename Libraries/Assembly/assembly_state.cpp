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
    // What is left over goes to the models that are furthest below their share, as far as it makes whole groups.
    std::stable_sort(remainders.begin(), remainders.end(), [](const auto &one, const auto &other) { return one.first > other.first; });
    for (const auto &[remainder, model] : remainders) {
        if (left >= model->size && remainder > 0) {
            ++targets[model->id];
            left -= model->size;
        }
    }
    return targets;
}

std::vector<model_standing> standingOf(const assembly_state &state, const engine_description &engine)
{
    const auto targets = groupTargets(engine, demandShares(state.demand, engine), state.usable, state.policy.spareShare);
    std::vector<model_standing> result;
    for (const auto &model : engine.models) {
        const auto held = state.demand.outstanding.find(model.id);
        model_standing standing{
            model.id, targets.at(model.id), held == state.demand.outstanding.end() ? 0 : static_cast<int>(held->second)};
        for (const auto &[id, group] : state.groups) {
            if (group.model == model.id) {
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

void noteJoin(assembly_state &state, planned_group &group, planned_member &member, order_result result, instant now)
{
    if (result == order_result::taken || result == order_result::held) {
        member.hasJoined = true;
    } else if (result == order_result::conflict && ++member.conflicts < state.policy.mostConflicts) {
        member.nextOrder = now + state.policy.conflictPause;
    } else if (result != order_result::unknown) {
        // The place cannot be filled by this replica: the next round forms the group of others.
        state.avoidedUntil[member.instance] = now + state.policy.refusalPause;
        group.why = "a member did not take its place: " + member.instance.value();
    }
}

/// Keeps count of the orders that a replica has taken; forgets it where the answer leaves it open.
void noteOrdersTaken(assembly_state &state, const replica_order &order, const order_answer &answer)
{
    if (answer.result == order_result::withheld) {
        return;
    }
    if (order.kind == order_kind::look) {
        const bool isOfAnotherLife = answer.life != replica_life() && isAnotherLife(answer.life, order.life);
        if (answer.result == order_result::taken && !isOfAnotherLife) {
            state.ordersTaken[order.to] = answer.ordersTaken;
        }
        return;
    }
    const auto known = state.ordersTaken.find(order.to);
    if (known == state.ordersTaken.end()) {
        return;
    }
    if (answer.result == order_result::taken) {
        ++known->second;
    } else if (answer.result != order_result::held) {
        state.ordersTaken.erase(known);
    }
}

/// Whether the replica has started again since the order was planned: the answer says nothing of what it is now.
bool isOutlived(const assembly_state &state, const replica_order &order)
{
    const auto life = state.lives.find(order.to);
    return life != state.lives.end() && isAnotherLife(life->second, order.life);
}

bool isDone(order_result result)
{
    return result == order_result::taken || result == order_result::held;
}

} // namespace

bool isStillDue(const replica_order &order, bool isBeforeTraffic)
{
    return isBeforeTraffic || !order.isFreeLoad;
}

void noteOrderResult(assembly_state &state, const replica_order &order, const order_answer &answer, instant now)
{
    if (isOutlived(state, order)) {
        return;
    }
    const auto result = answer.result;
    noteOrdersTaken(state, order, answer);
    if (order.kind == order_kind::stage) {
        if (!isDone(result)) {
            state.stagings.erase(order.to);
        }
        if (!isDone(result) && result != order_result::withheld) {
            state.avoidedUntil[order.to] = now + state.policy.refusalPause;
        }
        return;
    }
    const auto found = state.groups.find(order.group);
    if (found == state.groups.end() || found->second.formed != order.formed) {
        return;
    }
    auto &group = found->second;
    auto *member = findMember(group, order.to);
    if (member == nullptr) {
        return;
    }
    member->isOrderUnderWay = false;
    member->nextOrder = now + state.policy.orderRetry;
    if (result == order_result::withheld) {
        member->nextOrder = now;
        return;
    }
    if (order.kind == order_kind::look) {
        // What follows need not wait.
        member->nextOrder = result == order_result::taken ? now : member->nextOrder;
        if (result == order_result::gone) {
            noteJoin(state, group, *member, result, now);
        }
    } else if (order.kind == order_kind::join) {
        noteJoin(state, group, *member, result, now);
    } else if (order.kind == order_kind::open) {
        group.isOpenInDoubt = group.isOpenInDoubt || result == order_result::unknown;
    } else if (order.kind == order_kind::leave) {
        group.hasLeft = group.hasLeft || result != order_result::unknown;
    } else if (order.kind == order_kind::close) {
        // A head that refuses to close is not open. One that has begun to finish has not been told to cut.
        const bool isLatest = order.method == group.closing;
        group.hasTakenClose = group.hasTakenClose || (isLatest && result != order_result::unknown && result != order_result::gone);
        if (result == order_result::gone && !group.headLostSince) {
            group.headLostSince = now;
        }
    }
}

} // namespace vetchpost
