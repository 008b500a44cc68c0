// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/direct_paths.h"

#include <algorithm>

namespace vetchpost {

namespace {

void beginCut(service_paths &paths, instant now)
{
    const bool isSoonAgain = paths.lastReturn && now - *paths.lastReturn < stableTime;
    paths.probation = isSoonAgain ? std::min(paths.probation * 2, longestProbation) : shortestProbation;
    paths.cutSince = now;
    paths.returningSince.reset();
}

} // namespace

bool recordConnected(direct_paths &paths, const service_id &service, instant now)
{
    auto &known = paths.services[service];
    known.connectedAt = now;
    known.unreached.clear();
    if (!known.cutSince) {
        return false;
    }
    known.returningSince = known.returningSince.value_or(now);
    if (now - *known.returningSince < known.probation) {
        return false;
    }
    known.cutSince.reset();
    known.returningSince.reset();
    known.lastReturn = now;
    return true;
}

bool recordUnreached(
    direct_paths &paths, const service_id &service, const instance_id &replica, std::size_t known, instant began, instant now)
{
    auto &state = paths.services[service];
    // A connection that was established meanwhile shows that the link works and that only this replica does not answer.
    if (state.connectedAt >= began) {
        return false;
    }
    state.unreached.insert(replica);
    if (state.unreached.size() < std::min(unreachedWhenCut, std::max<std::size_t>(1, known))) {
        return false;
    }
    state.returningSince.reset();
    if (state.cutSince) {
        return false;
    }
    beginCut(state, now);
    return true;
}

bool isCutOff(const direct_paths &paths, const service_id &service)
{
    const auto found = paths.services.find(service);
    return found != paths.services.end() && found->second.cutSince;
}

bool needsTunnel(const direct_paths &paths, const service_id &service)
{
    if (isCutOff(paths, service)) {
        return true;
    }
    const auto found = paths.services.find(service);
    const auto connectedAt = found == paths.services.end() ? instant() : found->second.connectedAt;
    return std::any_of(paths.services.begin(), paths.services.end(), [&](const auto &entry) {
        return entry.second.cutSince && connectedAt < *entry.second.cutSince;
    });
}

std::set<service_id> cutOffServices(const direct_paths &paths)
{
    std::set<service_id> result;
    for (const auto &[service, state] : paths.services) {
        if (needsTunnel(paths, service)) {
            result.insert(service);
        }
    }
    return result;
}

} // namespace vetchpost
