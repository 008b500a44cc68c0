// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Configuration/configuration.h"

#include "Libraries/Configuration/template_parameters.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace vetchpost {

namespace {

constexpr std::size_t digestLength = 64;
constexpr int highestPriority = 9;
constexpr int maxReplicas = 4000;
constexpr int maxInstancesPerReplica = 64;

bool isName(const std::string &text)
{
    constexpr std::size_t maxLength = 63;
    const auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.'; };
    return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), isAllowed);
}

bool isDigest(const std::string &text)
{
    const auto isHexadecimal = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digestLength && std::all_of(text.begin(), text.end(), isHexadecimal);
}

organisation readOrganisation(const std::string &name, yaml_reader reader)
{
    organisation result;
    result.id = organisation_id(name);
    result.keyDigests = reader.strings("key-digests");
    if (!std::all_of(result.keyDigests.begin(), result.keyDigests.end(), isDigest)) {
        reader.report("key-digests", "SHA-256 digests in lower-case hexadecimal, as `vetchpost digest` prints them");
    }
    result.priority = static_cast<int>(reader.integer("priority", 0, highestPriority, 0));
    result.weight = reader.number("weight", 0.01, 1000, 1);
    result.tokensPerSecond = reader.number("tokens-per-second", 0, 1e9, 0);
    reader.refuseUnknownKeys();
    return result;
}

void readModel(yaml_reader &reader, deployment &result)
{
    result.model = reader.requiredString("model");
    result.adapter = reader.string("adapter", "");
    result.version = reader.requiredString("version");
    result.replicas = static_cast<int>(reader.requiredInteger("replicas", 0, maxReplicas));
    result.instancesPerReplica = static_cast<int>(reader.requiredInteger("instances-per-replica", 1, maxInstancesPerReplica));
    result.enginesCheckFencing = reader.flag("engines-check-fencing", false);
    result.maySpanDomains = reader.flag("may-span-domains", false);
    result.downtimeWeight = reader.number("downtime-weight", 0, 1000, 1);
    result.strandedWeight = reader.number("stranded-weight", 0, 1000, 1);
    result.minServingPercent = static_cast<int>(reader.integer("kept-percent", 0, 100, 75));
    result.loadTime = std::chrono::seconds(reader.integer("load-seconds", 0, 7200, 120));
    result.restartTime = std::chrono::seconds(reader.integer("restart-seconds", 1, 7200, 240));
}

void readService(yaml_reader &reader, deployment &result)
{
    result.service = reader.requiredString("service");
    result.repeatableMethods = reader.strings("repeatable-methods");
    static const std::vector<std::string> methods = {"GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"};
    for (const auto &method : result.repeatableMethods) {
        if (std::find(methods.begin(), methods.end(), method) == methods.end()) {
            reader.report("repeatable-methods", fmt::format("a list of {}", fmt::join(methods, ", ")));
        }
    }
}

/// Reads the keys of a deployment from its expanded template.
void readExpandedTemplate(yaml_reader reader, deployment &result)
{
    const auto kind = reader.choice("kind", {"model", "service"}, "model");
    result.kind = kind == "model" ? deployment_kind::model : deployment_kind::service;
    result.priority = static_cast<int>(reader.integer("priority", 0, highestPriority, 0));
    if (result.kind == deployment_kind::model) {
        readModel(reader, result);
    } else {
        readService(reader, result);
    }
    reader.refuseUnknownKeys();
}

class configuration_reader
{
public:
    configuration_reader(const YAML::Node &root, std::string file, std::vector<yaml_problem> &problems)
        : m_file(file)
        , m_problems(problems)
        , m_root(root, std::move(file), "", problems)
    {
    }

    configuration read()
    {
        readOrganisations();
        readTemplates();
        readDeployments();
        m_root.refuseUnknownKeys();
        return std::move(m_result);
    }

private:
    void readOrganisations()
    {
        auto reader = m_root.map("organisations");
        std::map<std::string, std::string> ownerOfDigest;
        for (const auto &name : reader.keys()) {
            checkName(reader, name);
            m_result.organisations.push_back(readOrganisation(name, reader.map(name)));
            for (const auto &digest : m_result.organisations.back().keyDigests) {
                const auto [owner, isNew] = ownerOfDigest.emplace(digest, name);
                if (!isNew) {
                    reader.report(name, "a key digest of its own; " + owner->second + " has the same");
                }
            }
        }
    }

    void readTemplates()
    {
        auto reader = m_root.map("templates");
        for (const auto &name : reader.keys()) {
            checkName(reader, name);
            m_templates.emplace(name, readTemplate(reader.map(name)));
        }
    }

    void readDeployments()
    {
        auto reader = m_root.map("deployments");
        for (const auto &name : reader.keys()) {
            checkName(reader, name);
            readDeployment(name, reader.map(name));
        }
    }

    void readDeployment(const std::string &name, yaml_reader reader)
    {
        deployment result;
        result.id = deployment_id(name);
        for (const auto &organisation : reader.strings("organisations")) {
            result.organisations.emplace_back(organisation);
            if (m_result.findOrganisation(result.organisations.back()) == nullptr) {
                reader.report("organisations", "organisations of this configuration; there is no " + organisation);
            }
        }
        const auto templateName = reader.requiredString("template");
        auto parameters = reader.map("parameters");
        reader.refuseUnknownKeys();
        const auto used = m_templates.find(templateName);
        if (used == m_templates.end()) {
            if (!templateName.empty()) {
                reader.report("template", "a template of this configuration; there is no " + templateName);
            }
            return;
        }
        const auto path = "deployments." + name + " (template " + templateName + ")";
        readExpandedTemplate(yaml_reader(expandTemplate(used->second, parameters), m_file, path, m_problems), result);
        m_result.deployments.push_back(std::move(result));
    }

    static void checkName(yaml_reader &reader, const std::string &name)
    {
        if (!isName(name)) {
            reader.report(name, "a name of at most 63 lower-case letters, digits, dots and hyphens");
        }
    }

    std::string m_file;
    std::vector<yaml_problem> &m_problems;
    yaml_reader m_root;
    std::map<std::string, deployment_template> m_templates;
    configuration m_result;
};

} // namespace

const organisation *configuration::findOrganisation(const organisation_id &id) const
{
    const auto found = std::find_if(organisations.begin(), organisations.end(), [&](const organisation &entry) { return entry.id == id; });
    return found == organisations.end() ? nullptr : &*found;
}

const deployment *configuration::findDeployment(const deployment_id &id) const
{
    const auto found = std::find_if(deployments.begin(), deployments.end(), [&](const deployment &entry) { return entry.id == id; });
    return found == deployments.end() ? nullptr : &*found;
}

const organisation *configuration::organisationOfKey(const std::string &keyDigest) const
{
    for (const auto &entry : organisations) {
        if (std::find(entry.keyDigests.begin(), entry.keyDigests.end(), keyDigest) != entry.keyDigests.end()) {
            return &entry;
        }
    }
    return nullptr;
}

bool mayUse(const deployment &deployment, const organisation_id &organisation)
{
    const auto &allowed = deployment.organisations;
    return std::find(allowed.begin(), allowed.end(), organisation) != allowed.end();
}

bool isRepeatable(const deployment &deployment, const std::string &method)
{
    const auto &methods = deployment.repeatableMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

std::optional<configuration> readConfiguration(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems)
{
    const auto problemsBefore = problems.size();
    const auto root = parseYamlMap(text, file, problems);
    if (!root) {
        return std::nullopt;
    }
    configuration result;
    try {
        result = configuration_reader(*root, file, problems).read();
    } catch (const YAML::Exception &error) {
        problems.push_back({file, error.mark.line + 1, "", "well-formed YAML (" + error.msg + ")"});
    }
    if (problems.size() != problemsBefore) {
        return std::nullopt;
    }
    return result;
}

std::string keyDigest(const std::string &key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace vetchpost
