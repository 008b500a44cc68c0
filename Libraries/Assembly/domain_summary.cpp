// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/domain_summary.h"

#include <fmt/format.h>

namespace vetchpost {

namespace {

char letterOf(const engine_description &engine, const model_id &model)
{
    for (std::size_t i = 0; i < engine.models.size(); ++i) {
        if (engine.models[i].id == model) {
            return static_cast<char>('a' + i % ('z' - 'a' + 1));
        }
    }
    return '.';
}

const planned_group *groupOf(const assembly_state &state, const served_replica &replica)
{
    if (!replica.membership) {
        return nullptr;
    }
    const auto found = state.groups.find(replica.membership->group);
    return found == state.groups.end() ? nullptr : &found->second;
}

std::string describe(const assembly_state &state, const assembly_view &view, const served_replica &replica, bool isInGroup)
{
    std::string text = " ";
    text += replica.isDraining ? "~" : "";
    text += replica.isUnlisted ? "u" : "";
    text += view.suspects.contains(replica.id) ? "?" : "";
    text += replica.model ? letterOf(view.engine, *replica.model) : '.';
    text += replica.staged.empty() ? '.' : letterOf(view.engine, replica.staged.front());
    text += state.stagings.contains(replica.id) ? "!" : "";
    text += state.avoidedUntil.contains(replica.id) ? "x" : "";
    text += isInGroup ? "*" : "";
    return text;
}

} // namespace

std::string summariseDomains(const assembly_state &state, const assembly_view &view)
{
    std::map<fabric_domain_id, std::string> domains;
    for (const auto &[id, replica] : view.directory.replicas) {
        if (replica.service != view.service) {
            continue;
        }
        auto &text = domains[replica.domain];
        const auto *group = groupOf(state, replica);
        if (group == nullptr || group->stage != assembly_stage::serving) {
            text += describe(state, view, replica, group != nullptr);
        } else if (replica.membership->rank == 0) {
            text += std::to_string(group->members.size());
        }
    }
    std::string line;
    for (const auto &[domain, text] : domains) {
        line += fmt::format("{}[{}]", line.empty() ? "" : " ", text);
    }
    return line;
}

} // namespace vetchpost
