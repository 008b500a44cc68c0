// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Settings/yaml_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// An organisation whose callers are served.
struct organisation
{
    organisation_id id;
    /// The SHA-256 digests of its bearer keys, in hexadecimal; the keys themselves stand nowhere.
    std::vector<std::string> keyDigests;
    /// Higher goes first when capacity is short.
    int priority = 0;
    /// Its share beside other organisations of the same priority.
    double weight = 1;
    /// The most tokens a second over all daemons; 0 for no limit.
    double tokensPerSecond = 0;
};

enum class deployment_kind { model, service };

/// One deployment with its template's parameters filled in.
struct deployment
{
    deployment_id id;
    deployment_kind kind = deployment_kind::model;
    std::vector<organisation_id> organisations;
    int priority = 0;

    // Of models only.
    std::string model;
    std::string adapter;
    std::string version;
    int replicas = 0;
    int instancesPerReplica = 1;
    bool enginesCheckFencing = false;
    bool maySpanDomains = false;
    /// What an hour of a missing replica costs, beside what a stranded accelerator's hour costs.
    double downtimeWeight = 1;
    double strandedWeight = 1;
    /// How many of its replicas must go on serving while others are changed on purpose, in per cent.
    int keptPercent = 0;
    /// How long one instance takes to load its share of the weights at the store's full rate.
    duration loadTime{};
    /// How long an instance usually takes to come back from a restart.
    duration restartTime{};

    // Of plain services only.
    std::string service;
    /// The methods whose calls may be repeated.
    std::vector<std::string> repeatableMethods;
};

/// What the operators want, checked as a whole.
struct configuration
{
    std::vector<organisation> organisations;
    std::vector<deployment> deployments;

    const organisation *findOrganisation(const organisation_id &id) const;
    const deployment *findDeployment(const deployment_id &id) const;
    /// The organisation that a bearer key's digest belongs to.
    const organisation *organisationOfKey(const std::string &keyDigest) const;
};

bool mayUse(const deployment &deployment, const organisation_id &organisation);
bool isRepeatable(const deployment &deployment, const std::string &method);

/// Reads and checks a configuration: the one function that the command line and the daemons share. Nothing where there is
/// any problem. \a file only names the text in the problems.
std::optional<configuration> readConfiguration(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems);

/// The SHA-256 digest of a bearer key in hexadecimal.
std::string keyDigest(const std::string &key);

} // namespace vetchpost
