// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/self_check.h"

#include <algorithm>
#include <map>

namespace vetchpost {

namespace {

using candidate_list = std::vector<const served_replica *>;

/// One candidate from each domain, grouped by data centre.
std::vector<candidate_list> candidatesFor(const replica_directory &directory,
                                          const served_replica &silent,
                                          const std::set<instance_id> &suspected,
                                          std::uint64_t randomValue)
{
    std::map<fabric_domain_id, candidate_list> domains;
    for (const auto &[id, replica] : directory.replicas) {
        const bool isCandidate = !replica.isDraining && !suspected.contains(id);
        if (isCandidate && replica.domain != silent.domain) {
            domains[replica.domain].push_back(&replica);
        }
    }
    std::map<data_centre_id, candidate_list> dataCentres;
    for (const auto &[domain, replicas] : domains) {
        const auto *chosen = replicas[randomValue % replicas.size()];
        dataCentres[chosen->dataCentre].push_back(chosen);
    }
    std::vector<candidate_list> candidates;
    candidates.reserve(dataCentres.size());
    for (auto &[dataCentre, list] : dataCentres) {
        candidates.push_back(std::move(list));
    }
    return candidates;
}

} // namespace

std::vector<served_replica> chooseReferenceReplicas(const replica_directory &directory,
                                                    const served_replica &silent,
                                                    const std::set<instance_id> &suspected,
                                                    std::uint64_t randomValue)
{
    auto candidates = candidatesFor(directory, silent, suspected, randomValue);
    std::vector<served_replica> references;
    // The data centres take turns, since a network partition between two of them is no fault of this daemon.
    for (auto turn = randomValue; references.size() < maxReferenceReplicas && !candidates.empty(); ++turn) {
        auto &list = candidates[turn % candidates.size()];
        if (!list.empty()) {
            const auto chosen = list.begin() + static_cast<std::ptrdiff_t>(randomValue % list.size());
            references.push_back(**chosen);
            list.erase(chosen);
        }
        if (std::all_of(candidates.begin(), candidates.end(), [](const candidate_list &left) { return left.empty(); })) {
            break;
        }
    }
    return references;
}

std::size_t requiredAnswers(std::size_t references)
{
    return std::min(references, minReferenceAnswers);
}

void recordSelfCheck(self_check_state &state, instant began, bool hasPassed)
{
    if (hasPassed) {
        state.passedAt = std::max(state.passedAt.value_or(began), began);
        state.failingSince.reset();
    } else if (!state.failingSince) {
        state.failingSince = began;
    }
}

bool hasPassedSince(const self_check_state &state, instant since)
{
    return state.passedAt && *state.passedAt >= since;
}

bool isSelfCheckFailing(const self_check_state &state)
{
    return state.failingSince.has_value();
}

bool mustHandOver(const self_check_state &state, instant now)
{
    return state.failingSince && now - *state.failingSince >= handOverDelay;
}

} // namespace vetchpost
