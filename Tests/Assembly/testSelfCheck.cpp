// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/self_check.h"
#include "Libraries/Assembly/silent_replicas.h"
#include "Tests/Assembly/assemblySimulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const instant start(duration(1000000));
const model_id big("big");
const model_id small("small");

served_replica replicaOf(const std::string &id, const std::string &dataCentre, const std::string &domain)
{
    served_replica replica;
    replica.id = instance_id(id);
    replica.dataCentre = data_centre_id(dataCentre);
    replica.domain = fabric_domain_id(domain);
    return replica;
}

/// Two domains of two replicas in each of three data centres.
replica_directory sixDomains()
{
    replica_directory directory;
    for (const auto *dataCentre : {"x", "y", "z"}) {
        for (const auto *domain : {"1", "2"}) {
            for (const auto *number : {"a", "b"}) {
                auto replica
                    = replicaOf(fmt::format("{}{}{}", dataCentre, domain, number), dataCentre, fmt::format("{}{}", dataCentre, domain));
                directory.replicas.emplace(replica.id, replica);
            }
        }
    }
    return directory;
}

} // namespace

TEST_CASE("Reference replicas are in other domains than the silent one, one in each data centre")
{
    const auto directory = sixDomains();
    const auto &silent = directory.replicas.at(instance_id("x1a"));
    for (std::uint64_t randomValue = 0; randomValue < 20; ++randomValue) {
        const auto references = chooseReferenceReplicas(directory, silent, {}, randomValue);
        REQUIRE(references.size() == maxReferenceReplicas);
        std::set<data_centre_id> dataCentres;
        for (const auto &reference : references) {
            CHECK(reference.domain != silent.domain);
            dataCentres.insert(reference.dataCentre);
        }
        CHECK(dataCentres.size() == 3);
    }
}

TEST_CASE("Leaving and suspected replicas are no reference replicas")
{
    auto directory = sixDomains();
    for (auto &[id, replica] : directory.replicas) {
        replica.isDraining = replica.dataCentre == data_centre_id("y");
    }
    const std::set<instance_id> suspected{instance_id("z1a"), instance_id("z1b"), instance_id("z2a")};
    for (std::uint64_t randomValue = 0; randomValue < 20; ++randomValue) {
        for (const auto &reference :
             chooseReferenceReplicas(directory, directory.replicas.at(instance_id("x1a")), suspected, randomValue)) {
            CHECK(reference.dataCentre != data_centre_id("y"));
            CHECK_FALSE(suspected.contains(reference.id));
        }
    }
}

TEST_CASE("Without any reference replica the check passes")
{
    replica_directory directory;
    const auto replica = replicaOf("a", "x", "x1");
    directory.replicas.emplace(replica.id, replica);
    const auto references = chooseReferenceReplicas(directory, replica, {}, 1);
    CHECK(references.empty());
    CHECK(requiredAnswers(references.size()) == 0);
}

TEST_CASE("A self-check fails from the first failed check until the next one that passes, and leads to a hand-over after a while")
{
    self_check_state selfCheck;
    CHECK_FALSE(isSelfCheckFailing(selfCheck));
    recordSelfCheck(selfCheck, start, true);
    CHECK(hasPassedSince(selfCheck, start));
    CHECK_FALSE(hasPassedSince(selfCheck, start + duration(1)));
    recordSelfCheck(selfCheck, start + duration(100), false);
    recordSelfCheck(selfCheck, start + duration(900), false);
    CHECK(isSelfCheckFailing(selfCheck));
    CHECK_FALSE(mustHandOver(selfCheck, start + duration(1000)));
    CHECK(mustHandOver(selfCheck, start + duration(1100)));
    recordSelfCheck(selfCheck, start + duration(1200), true);
    CHECK_FALSE(isSelfCheckFailing(selfCheck));
    CHECK_FALSE(mustHandOver(selfCheck, start + duration(9000)));
}

TEST_CASE("A coordinator whose own connections are slow for two seconds closes no group")
{
    auto simulation = assembledSimulation();
    simulation.probeAllFor(duration(4000));
    simulation.slowOwnLinkFor(duration(2000));
    for (int i = 0; i < 80; ++i) {
        simulation.advance(duration(50));
        INFO(simulation.describe());
        REQUIRE(simulation.servingGroups(big) == 8);
        REQUIRE(simulation.servingGroups(small) == 8);
    }
    CHECK(simulation.violation().empty());
}

TEST_CASE("A coordinator whose self-checks pass detects the loss of a whole domain")
{
    auto simulation = assembledSimulation();
    simulation.probeAllFor(duration(4000));
    simulation.detectDeaths();
    simulation.loseDomain(2, std::chrono::seconds(30));
    simulation.advance(duration(2000));
    CHECK(simulation.suspectedReplicas() == 8);
}
