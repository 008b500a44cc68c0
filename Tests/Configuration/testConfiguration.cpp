// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Configuration/configuration.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace vetchpost;

namespace {

const std::string digestA(64, 'a');
const std::string digestB(64, 'b');

std::string configurationWith(const std::string &parameters, const std::string &extra = {})
{
    return fmt::format(R"(organisations:
  okonjo: {{key-digests: [{}], priority: 5, weight: 4}}
  ebro: {{key-digests: [{}]}}
templates:
  spanning:
    parameters:
      model: {{type: text, required: true}}
      replicas: {{type: integer, minimum: 1, maximum: 100, default: 2}}
      size: {{type: text, choices: [small, large], default: small}}
      spare: {{type: number}}
    values: {{kind: model, model: "${{model}}", version: "1", replicas: "${{replicas}}", instances-per-replica: 4, downtime-weight: "${{spare}}"}}
deployments:
  filing: {{template: spanning, organisations: [okonjo], parameters: {{{}}}}}
{})",
                       digestA,
                       digestB,
                       parameters,
                       extra);
}

std::vector<std::string> problemsOf(const std::string &text)
{
    std::vector<yaml_problem> problems;
    const auto read = readConfiguration(text, "c.yaml", problems);
    CHECK(read.has_value() == problems.empty());
    std::vector<std::string> texts;
    texts.reserve(problems.size());
    for (const auto &problem : problems) {
        texts.push_back(problem.text());
    }
    return texts;
}

bool mentions(const std::vector<std::string> &problems, const std::string &part)
{
    for (const auto &problem : problems) {
        if (problem.find(part) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("A template's parameters fill its values")
{
    std::vector<yaml_problem> problems;
    const auto read = readConfiguration(configurationWith("model: large, replicas: 7"), "c.yaml", problems);
    REQUIRE(read);
    const auto *filing = read->findDeployment(deployment_id("filing"));
    REQUIRE(filing != nullptr);
    CHECK(filing->model == "large");
    CHECK(filing->replicas == 7);
    // Without a value and a default for the parameter, the default of the deployment's key applies.
    CHECK(filing->downtimeWeight == 1);
    CHECK(mayUse(*filing, organisation_id("okonjo")));
    CHECK_FALSE(mayUse(*filing, organisation_id("ebro")));
}

TEST_CASE("Parameters are checked by type, bounds and choices, and unknown ones are rejected")
{
    CHECK(mentions(problemsOf(configurationWith("")), "c.yaml:13: deployments.filing.parameters.model: expected a value"));
    CHECK(mentions(problemsOf(configurationWith("model: m, replicas: 101")), "parameters.replicas: expected a whole number from 1 to 100"));
    CHECK(mentions(problemsOf(configurationWith("model: m, replicas: many")), "parameters.replicas: expected a whole number"));
    CHECK(mentions(problemsOf(configurationWith("model: m, size: huge")), "parameters.size: expected one of small, large"));
    CHECK(mentions(problemsOf(configurationWith("model: m, sise: small")), "parameters.sise: expected no such key here"));
}

TEST_CASE("References to missing templates and organisations and invalid names are rejected")
{
    const auto extra = "  other: {template: missing, organisations: [nobody]}\n  Bad_Name: {template: spanning, parameters: {model: m}}\n";
    const auto problems = problemsOf(configurationWith("model: m", extra));
    CHECK(mentions(problems, "there is no missing"));
    CHECK(mentions(problems, "there is no nobody"));
    CHECK(mentions(problems, "Bad_Name: expected a name"));
}

TEST_CASE("Two organisations cannot have the same key")
{
    auto text = configurationWith("model: m");
    text.replace(text.find(digestB), digestB.size(), digestA);
    CHECK(mentions(problemsOf(text), "a key digest of its own"));
}

TEST_CASE("The digest of a bearer key is its SHA-256 hash")
{
    CHECK(keyDigest("example-key-okonjo") == "102ab483bbb3167f9125f14702ebb4b926c6f68cca20813d569305cc1bb63faa");
    CHECK(keyDigest("a") != keyDigest("b"));
}

TEST_CASE("Any truncated configuration is either read or rejected, without a crash")
{
    const auto text = configurationWith("model: large, replicas: 7");
    for (std::size_t length = 0; length < text.size(); ++length) {
        std::vector<yaml_problem> problems;
        const bool isRead = readConfiguration(text.substr(0, length), "c.yaml", problems).has_value();
        CHECK(isRead == problems.empty());
    }
}
