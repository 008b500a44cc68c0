// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Settings/yaml_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// An organisation whose requests are served.
struct organisation
{
    organisation_id id;
    /// The SHA-256 digests of its bearer keys, in hexadecimal. The keys themselves are not stored.
    std::vector<std::string> keyDigests;
    /// Requests with a higher priority go first when capacity is short.
    int priority = 0;
    /// The weight of its share of the capacity among the organisations of the same priority.
    double weight = 1;
    /// The limit of tokens per second over all daemons; 0 for no limit.
    double tokensPerSecond = 0;
};

enum class deployment_kind { model, service };

/// One deployment, as its template yields it with the deployment's parameters.
struct deployment
{
    deployment_id id;
    deployment_kind kind = deployment_kind::model;
    std::vector<organisation_id> organisations;
    int priority = 0;

    // For models only.
    std::string model;
    std::string adapter;
    std::string version;
    int replicas = 0;
    int instancesPerReplica = 1;
    bool enginesCheckFencing = false;
    bool maySpanDomains = false;
    /// The cost of one hour of a missing replica, relative to strandedWeight, the cost of one hour of a stranded accelerator.
    double downtimeWeight = 1;
    double strandedWeight = 1;
    /// The percentage of its replicas that must keep serving during planned changes.
    int minServingPercent = 0;
    /// The time that one instance takes to load its share of the weights at the full rate of the weight store.
    duration loadTime{};
    /// The usual time that an instance takes to restart.
    duration restartTime{};

    // For plain services only.
    std::string service;
    /// The HTTP methods whose requests may be retried.
    std::vector<std::string> repeatableMethods;
};

/// The operators' configuration, which has passed all checks.
struct configuration
{
    std::vector<organisation> organisations;
    std::vector<deployment> deployments;

    /// Returns the organisation with this id; null if there is none.
    const organisation *findOrganisation(const organisation_id &id) const;
    /// Returns the deployment with this id; null if there is none.
    const deployment *findDeployment(const deployment_id &id) const;
    /// Returns the organisation with a bearer key of this digest; null if there is none.
    const organisation *organisationOfKey(const std::string &keyDigest) const;
};

/// Returns whether an organisation may use a deployment.
bool mayUse(const deployment &deployment, const organisation_id &organisation);
/// Returns whether requests to a deployment with this HTTP method may be retried.
bool isRepeatable(const deployment &deployment, const std::string &method);

/// Parses and checks a configuration, for the command line as well as the daemons. Appends what is wrong to \a problems, and returns
/// nothing if there is any problem. \a file is only the name of the text in the problems.
std::optional<configuration> readConfiguration(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);

/// Returns the SHA-256 digest of a bearer key in hexadecimal.
std::string keyDigest(const std::string &key);

} // namespace vetchpost
