// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/own_trouble.h"

#include <algorithm>
#include <map>

namespace vetchpost {

namespace {

using candidate_list = std::vector<const served_replica *>;

/// One candidate of each domain; a list for each data centre.
std::vector<candidate_list>
candidatesFor(const replica_directory &directory, const served_replica &silent, const std::set<instance_id> &suspected, std::uint64_t draw)
{
    std::map<fabric_domain_id, candidate_list> domains;
    for (const auto &[id, replica] : directory.replicas) {
        const bool isSound = !replica.isDraining && !suspected.contains(id);
        if (isSound && replica.domain != silent.domain) {
            domains[replica.domain].push_back(&replica);
        }
    }
    std::map<data_centre_id, candidate_list> dataCentres;
    for (const auto &[domain, replicas] : domains) {
        const auto *chosen = replicas[draw % replicas.size()];
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

std::vector<served_replica>
referencesFor(const replica_directory &directory, const served_replica &silent, const std::set<instance_id> &suspected, std::uint64_t draw)
{
    auto candidates = candidatesFor(directory, silent, suspected, draw);
    std::vector<served_replica> references;
    // One data centre after the other: a cut between two of them says nothing of this daemon.
    for (auto turn = draw; references.size() < referencesAsked && !candidates.empty(); ++turn) {
        auto &list = candidates[turn % candidates.size()];
        if (!list.empty()) {
            const auto chosen = list.begin() + static_cast<std::ptrdiff_t>(draw % list.size());
            references.push_back(**chosen);
            list.erase(chosen);
        }
        if (std::all_of(candidates.begin(), candidates.end(), [](const candidate_list &left) { return left.empty(); })) {
            break;
        }
    }
    return references;
}

std::size_t answersNeeded(std::size_t references)
{
    return std::min(references, referencesNeeded);
}

void noteCheck(own_trouble &trouble, instant began, bool isSound)
{
    if (isSound) {
        trouble.soundAt = std::max(trouble.soundAt.value_or(began), began);
        trouble.failingSince.reset();
    } else if (!trouble.failingSince) {
        trouble.failingSince = began;
    }
}

bool wasSoundSince(const own_trouble &trouble, instant since)
{
    return trouble.soundAt && *trouble.soundAt >= since;
}

bool isInTrouble(const own_trouble &trouble)
{
    return trouble.failingSince.has_value();
}

bool mustHandOver(const own_trouble &trouble, instant now)
{
    return trouble.failingSince && now - *trouble.failingSince >= troubleBeforeHandOver;
}

} // namespace vetchpost
