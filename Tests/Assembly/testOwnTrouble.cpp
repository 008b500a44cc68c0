// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/own_trouble.h"
#include "Libraries/Assembly/silent_replicas.h"
#include "Tests/Assembly/assemblyWorld.h"

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

TEST_CASE("Those that are asked beside a silent replica stand in other domains, one in each data centre")
{
    const auto directory = sixDomains();
    const auto &silent = directory.replicas.at(instance_id("x1a"));
    for (std::uint64_t draw = 0; draw < 20; ++draw) {
        const auto references = referencesFor(directory, silent, {}, draw);
        REQUIRE(references.size() == referencesAsked);
        std::set<data_centre_id> dataCentres;
        for (const auto &reference : references) {
            CHECK(reference.domain != silent.domain);
            dataCentres.insert(reference.dataCentre);
        }
        CHECK(dataCentres.size() == 3);
    }
}

TEST_CASE("None that leaves or is silent itself is asked")
{
    auto directory = sixDomains();
    for (auto &[id, replica] : directory.replicas) {
        replica.isDraining = replica.dataCentre == data_centre_id("y");
    }
    const std::set<instance_id> suspected{instance_id("z1a"), instance_id("z1b"), instance_id("z2a")};
    for (std::uint64_t draw = 0; draw < 20; ++draw) {
        for (const auto &reference : referencesFor(directory, directory.replicas.at(instance_id("x1a")), suspected, draw)) {
            CHECK(reference.dataCentre != data_centre_id("y"));
            CHECK_FALSE(suspected.contains(reference.id));
        }
    }
}

TEST_CASE("Where there is nobody else to ask, silence counts")
{
    replica_directory directory;
    const auto replica = replicaOf("a", "x", "x1");
    directory.replicas.emplace(replica.id, replica);
    const auto references = referencesFor(directory, replica, {}, 1);
    CHECK(references.empty());
    CHECK(answersNeeded(references.size()) == 0);
}

TEST_CASE("A daemon is in trouble from its first failed check until the next good one, and hands over after a while")
{
    own_trouble trouble;
    CHECK_FALSE(isInTrouble(trouble));
    noteCheck(trouble, start, true);
    CHECK(wasSoundSince(trouble, start));
    CHECK_FALSE(wasSoundSince(trouble, start + duration(1)));
    noteCheck(trouble, start + duration(100), false);
    noteCheck(trouble, start + duration(900), false);
    CHECK(isInTrouble(trouble));
    CHECK_FALSE(mustHandOver(trouble, start + duration(1000)));
    CHECK(mustHandOver(trouble, start + duration(1100)));
    noteCheck(trouble, start + duration(1200), true);
    CHECK_FALSE(isInTrouble(trouble));
    CHECK_FALSE(mustHandOver(trouble, start + duration(9000)));
}

TEST_CASE("A coordinator whose own connections are slow for two seconds closes no group")
{
    auto world = assembledWorld();
    world.lookAtAllFor(duration(4000));
    world.slowOwnLinkFor(duration(2000));
    for (int i = 0; i < 80; ++i) {
        world.advance(duration(50));
        INFO(world.describe());
        REQUIRE(world.servingGroups(big) == 8);
        REQUIRE(world.servingGroups(small) == 8);
    }
    CHECK(world.violation().empty());
}

TEST_CASE("A coordinator that is sound itself finds a whole domain that went dark")
{
    auto world = assembledWorld();
    world.lookAtAllFor(duration(4000));
    world.detectDeaths();
    world.loseDomain(2, std::chrono::seconds(30));
    world.advance(duration(1500));
    CHECK(world.suspectedReplicas() == 8);
}
