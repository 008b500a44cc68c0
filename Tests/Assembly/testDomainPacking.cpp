// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/domain_packing.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const model_id large("large");
const model_id small("small");

packing_group groupOf(const model_id &model, const std::string &id, int alive, int readyForLarge, int readyForSmall)
{
    return {group_id(id), model, alive, {{large, readyForLarge}, {small, readyForSmall}}, {{large, readyForLarge}, {small, readyForSmall}}};
}

/// Six groups of sixteen and thirty of four are wanted.
std::vector<packing_model> modelsWith(int ofLarge, int ofSmall, int unneededSmall = 30)
{
    return {{large, 16, 6, ofLarge, ofLarge}, {small, 4, 30, ofSmall, unneededSmall}};
}

/// A domain with unassigned replicas that are ready for the larger model, and groups of the smaller one whose members are too.
packing_domain domainWith(const std::string &id, int unassigned, int smallGroups)
{
    packing_domain domain{fabric_domain_id(id), groupOf({}, "", unassigned, unassigned, 0), {}};
    for (int i = 0; i < smallGroups; ++i) {
        domain.groups.push_back(groupOf(small, id + std::to_string(i), 4, 4, 4));
    }
    return domain;
}

std::optional<packing_choice> choose(const packing_model &needy,
                                     const std::vector<packing_model> &models,
                                     const std::vector<packing_domain> &domains,
                                     const packing_limits &limits = {},
                                     packing_basis basis = packing_basis::ready)
{
    return choosePacking(needy, models, domains, limits, basis);
}

} // namespace

TEST_CASE("The domain where the fewest replicas stop serving gives way")
{
    const auto models = modelsWith(3, 30);
    const auto choice = choose(models[0], models, {domainWith("a", 5, 5), domainWith("b", 13, 5), domainWith("c", 9, 5)});
    REQUIRE(choice);
    CHECK(choice->domain.value() == "b");
    CHECK(choice->closed.size() == 1);
    CHECK(choice->closedReplicas == 4);
}

TEST_CASE("Nothing is closed where the replicas that become free by themselves suffice")
{
    const auto models = modelsWith(3, 30);
    const auto choice = choose(models[0], models, {domainWith("a", 13, 5), domainWith("b", 16, 5)});
    REQUIRE(choice);
    CHECK(choice->domain.value() == "b");
    CHECK(choice->closed.empty());
}

// Under constant losses the smaller model never has all its groups; with that as the condition the larger one stays at one group.
TEST_CASE("Several groups give way to a scarce model although their model lacks some")
{
    const std::vector<packing_domain> domains = {domainWith("a", 5, 5)};
    const auto scarce = modelsWith(1, 25);
    const auto choice = choose(scarce[0], scarce, domains);
    REQUIRE(choice);
    CHECK(choice->closed.size() == 3);
    const auto lacking = modelsWith(4, 25);
    CHECK_FALSE(choose(lacking[0], lacking, domains));
    CHECK_FALSE(choose(scarce[0], scarce, domains, {0.1, 0.5, false}));
}

TEST_CASE("Several groups of a model that has all give way only if its requests fit into the others")
{
    const std::vector<packing_domain> domains = {domainWith("a", 9, 5)};
    auto models = modelsWith(4, 32, 2);
    CHECK(choose(models[0], models, domains));
    models = modelsWith(4, 32, 1);
    CHECK_FALSE(choose(models[0], models, domains));
}

TEST_CASE("A larger group gives way to a scarce smaller model, and to no other")
{
    packing_domain domain{fabric_domain_id("a"), {}, {groupOf(large, "g1", 16, 16, 16)}};
    const auto scarce = modelsWith(5, 0);
    const auto choice = choose(scarce[1], scarce, {domain});
    REQUIRE(choice);
    CHECK(choice->closed.size() == 1);
    const auto shortOfSome = modelsWith(5, 20);
    CHECK_FALSE(choose(shortOfSome[1], shortOfSome, {domain}));
    // Its own model would then be as scarce.
    const auto twoScarce = modelsWith(1, 3);
    CHECK_FALSE(choose(twoScarce[1], twoScarce, {domain}));
}

// Otherwise the two models close each other's groups in turn, and neither serves.
TEST_CASE("No choice makes a model so short that it takes the replicas back")
{
    const packing_domain mixed{fabric_domain_id("a"),
                               {},
                               {groupOf(large, "g1", 16, 16, 16),
                                groupOf(small, "g2", 4, 4, 4),
                                groupOf(small, "g3", 4, 4, 4),
                                groupOf(small, "g4", 4, 4, 4),
                                groupOf(small, "g5", 4, 4, 4)}};
    for (int ofLarge = 0; ofLarge <= 6; ++ofLarge) {
        for (int ofSmall = 0; ofSmall <= 30; ++ofSmall) {
            const auto models = modelsWith(ofLarge, ofSmall);
            for (std::size_t needy = 0; needy < 2; ++needy) {
                if (presentFraction(models[needy]) >= 1) {
                    continue;
                }
                if (const auto choice = choose(models[needy], models, {mixed})) {
                    auto after = models;
                    after[1 - needy].present -= static_cast<int>(choice->closed.size());
                    after[needy].present += 1;
                    CAPTURE(ofLarge, ofSmall, needy);
                    CHECK_FALSE((presentFraction(after[1 - needy]) < 1 && choose(after[1 - needy], after, {mixed})
                                 && presentFraction(models[needy]) >= presentFraction(after[1 - needy])));
                    CHECK(presentFraction(after[1 - needy]) >= presentFraction(models[needy]));
                }
            }
        }
    }
}

TEST_CASE("Loads are counted where replicas are not ready yet, and the fewest decide")
{
    const auto models = modelsWith(1, 30);
    packing_domain unprepared{fabric_domain_id("a"), groupOf({}, "", 13, 5, 0), {groupOf(small, "g1", 4, 0, 4)}};
    packing_domain prepared{fabric_domain_id("b"), groupOf({}, "", 13, 12, 0), {groupOf(small, "g2", 4, 0, 4)}};
    CHECK_FALSE(choose(models[0], models, {unprepared, prepared}));
    const auto choice = choose(models[0], models, {unprepared, prepared}, {}, packing_basis::alive);
    REQUIRE(choice);
    CHECK(choice->domain.value() == "b");
    CHECK(choice->requiredLoads == 4);
}
