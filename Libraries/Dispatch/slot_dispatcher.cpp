// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_dispatcher.h"

#include <algorithm>

namespace vetchpost {

slot_answer requestSlot(slot_dispatcher &dispatcher, const slot_request &request, const endpoint &asker, instant /*now*/)
{
    slot_answer answer{request.ticket, asker, slot_verdict::unknown_model, {}, {}};
    auto &ledger = dispatcher.ledger;
    if (const auto known = ledger.grants.find({asker, request.ticket}); known != ledger.grants.end()) {
        answer.verdict = slot_verdict::granted;
        answer.head = known->second.head;
        return answer;
    }
    group_ledger *best = nullptr;
    for (auto &[head, next] : ledger.groups) {
        if (next.group.model != request.model
            || std::find(request.excluded.begin(), request.excluded.end(), head) != request.excluded.end()) {
            continue;
        }
        if (best == nullptr || next.granted * best->group.slots < best->granted * next.group.slots) {
            best = &next;
        }
    }
    if (best != nullptr) {
        ++best->granted;
        ledger.grants[{asker, request.ticket}] = {best->group.head};
        answer.verdict = slot_verdict::granted;
        answer.head = best->group.head;
    }
    return answer;
}

std::vector<slot_answer> releaseSlot(slot_dispatcher &dispatcher, std::uint64_t ticket, const endpoint &asker, slot_end /*end*/, instant /*now*/)
{
    auto &ledger = dispatcher.ledger;
    if (const auto known = ledger.grants.find({asker, ticket}); known != ledger.grants.end()) {
        if (const auto group = ledger.groups.find(known->second.head); group != ledger.groups.end()) {
            --group->second.granted;
        }
        ledger.grants.erase(known);
    }
    return {};
}

std::vector<slot_answer> advance(slot_dispatcher & /*dispatcher*/, instant /*now*/)
{
    return {};
}

void updateGroups(slot_dispatcher &dispatcher, const std::vector<dispatch_group> &groups, const engine_description & /*engine*/, instant /*now*/)
{
    std::map<instance_id, group_ledger> next;
    for (const auto &group : groups) {
        const auto known = dispatcher.ledger.groups.find(group.head);
        const bool stays = known != dispatcher.ledger.groups.end() && known->second.group.incarnation == group.incarnation;
        next[group.head] = {group, stays ? known->second.granted : 0};
    }
    dispatcher.ledger.groups = std::move(next);
    std::erase_if(dispatcher.ledger.grants, [&](const auto &grant) {
        const auto group = dispatcher.ledger.groups.find(grant.second.head);
        return group == dispatcher.ledger.groups.end() || group->second.granted == 0;
    });
}

} // namespace vetchpost
