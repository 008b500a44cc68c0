// SPDX-License-Identifier: Apache-2.0
#include "Tests/Fakes/fuzz.h"
#include "Tests/Groups/groupWorld.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace vetchpost::test {

void showValue(const world_step &step, std::ostream &out)
{
    out << '{' << step.kind << ',' << step.subject << ',' << step.amount << '}';
}

} // namespace vetchpost::test

namespace {

constexpr int kinds = 17;
constexpr int stepsPerCase = 60;
constexpr int casesInCi = 200;

rc::Gen<world_step> anyStep()
{
    return rc::gen::build<world_step>(rc::gen::set(&world_step::kind, rc::gen::inRange(0, kinds)),
                                      rc::gen::set(&world_step::subject, rc::gen::inRange(0, 18)),
                                      rc::gen::set(&world_step::amount, rc::gen::inRange(0, 60000)));
}

int steps = 0;

void fuzzGroups(bool checksFencing)
{
    steps = 0;
    const auto property = [checksFencing] {
        const auto seed = *rc::gen::arbitrary<std::uint16_t>();
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<world_step>>(stepsPerCase, anyStep()));
        group_world world(checksFencing, seed);
        world.heal(std::chrono::seconds(30));
        for (const auto &step : plan) {
            world.apply(step);
            ++steps;
            if (!world.violation().empty()) {
                RC_FAIL(world.violation() + " (step " + std::to_string(steps) + ")");
            }
        }
        // When all faults have ended, all wanted groups serve again.
        world.heal(std::chrono::minutes(25));
        if (!world.violation().empty() || world.servingGroups() != world.wantedGroups()) {
            RC_FAIL(world.violation() + "not all groups serve again (step " + std::to_string(steps) + ")\n" + world.describe());
        }
    };
    checkProperty("groups", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}

} // namespace

TEST_CASE("No fault breaks what must hold of groups whose engines check fencing numbers", "[fuzz]")
{
    fuzzGroups(true);
}

TEST_CASE("No fault breaks what must hold of groups whose engines ignore fencing numbers", "[fuzz]")
{
    fuzzGroups(false);
}
