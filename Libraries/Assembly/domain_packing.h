// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Decides in which domain groups of other models are closed so that a group of a short model can be formed there.
namespace vetchpost {

struct packing_model
{
    model_id id;
    /// Replicas in one group.
    int size = 1;
    int wanted = 0;
    /// Groups that are present, or for which a domain has been reserved.
    int present = 0;
    /// How many groups can be closed without requests having to queue.
    int unneeded = 0;
};

/// A serving group, which may be closed.
struct packing_group
{
    group_id id;
    model_id model;
    /// Members that can serve in another group.
    int alive = 0;
    /// The number of these that are ready for each model, and of those that are ready or load its weights.
    std::map<model_id, int> ready;
    std::map<model_id, int> readyOrLoading;
};

struct packing_domain
{
    fabric_domain_id id;
    /// Replicas that are free or that a closing group releases once its streams have finished. Members of a group whose head is silent do
    /// not count, since such a group holds them until its head has ended for certain.
    packing_group unassigned;
    std::vector<packing_group> groups;
};

struct packing_limits
{
    /// The present fraction of a closed group's model must still exceed that of the short model by this much.
    double margin = 0.1;
    /// Below this present fraction a model is scarce: several groups, or one of a larger model, may be closed for it although their model
    /// then lacks some.
    double scarcity = 0.5;
    /// Whether several groups may be closed now.
    bool maySeveral = true;
};

/// Which replicas of a domain count.
enum class packing_basis {
    /// Those that are ready for the model: the group can be formed once the chosen groups are closed.
    ready,
    /// All: some have to load the model's weights first.
    alive
};

struct packing_choice
{
    fabric_domain_id domain;
    /// The groups to close; none if the replicas that become free by themselves suffice.
    std::vector<group_id> closed;
    /// Replicas in the closed groups.
    int closedReplicas = 0;
    /// How many replicas must still load the model's weights.
    int requiredLoads = 0;
};

double presentFraction(const packing_model &model);

/// The domain where a group of \a needy costs least: the fewest loads, then the fewest replicas in closed groups. Nothing if no domain has
/// enough replicas or the other models cannot spare the groups.
std::optional<packing_choice> choosePacking(const packing_model &needy,
                                            const std::vector<packing_model> &models,
                                            const std::vector<packing_domain> &domains,
                                            const packing_limits &limits,
                                            packing_basis basis);

} // namespace vetchpost
