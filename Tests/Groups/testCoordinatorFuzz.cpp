// SPDX-License-Identifier: Apache-2.0
#include "Tests/Fakes/fuzz.h"
#include "Tests/Groups/groupSimulation.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace vetchpost::test {

void showValue(const simulation_step &step, std::ostream &out)
{
    out << '{' << step.kind << ',' << step.subject << ',' << step.amount << '}';
}

} // namespace vetchpost::test

namespace {

constexpr int stepKinds = 17;
constexpr int stepsPerCase = 60;
constexpr int casesInCi = 200;

rc::Gen<simulation_step> anyStep()
{
    return rc::gen::build<simulation_step>(rc::gen::set(&simulation_step::kind, rc::gen::inRange(0, stepKinds)),
                                           rc::gen::set(&simulation_step::subject, rc::gen::inRange(0, 18)),
                                           rc::gen::set(&simulation_step::amount, rc::gen::inRange(0, 60000)));
}

int steps = 0;

void fuzzGroups(bool checksFencing)
{
    steps = 0;
    const auto property = [checksFencing] {
        const auto seed = *rc::gen::arbitrary<std::uint16_t>();
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<simulation_step>>(stepsPerCase, anyStep()));
        group_simulation simulation(checksFencing, seed);
        simulation.heal(std::chrono::seconds(30));
        for (const auto &step : plan) {
            simulation.apply(step);
            ++steps;
            if (!simulation.violation().empty()) {
                RC_FAIL(simulation.violation() + " (step " + std::to_string(steps) + ")");
            }
        }
        // Once all faults have ended, all wanted groups serve again.
        simulation.heal(std::chrono::minutes(25));
        if (!simulation.violation().empty() || simulation.servingGroups() != simulation.wantedGroups()) {
            RC_FAIL(simulation.violation() + "not all groups serve again (step " + std::to_string(steps) + ")\n" + simulation.describe());
        }
    };
    checkProperty("groups", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}

} // namespace

TEST_CASE("Groups keep their invariants under faults when engines check fencing numbers", "[fuzz]")
{
    fuzzGroups(true);
}

TEST_CASE("Groups keep their invariants under faults when engines ignore fencing numbers", "[fuzz]")
{
    fuzzGroups(false);
}
