// SPDX-License-Identifier: Apache-2.0
#include "Tests/Assembly/assemblyFuzz.h"

namespace vetchpost::test {

namespace {

constexpr int stepsPerCase = 40;
constexpr int casesInCi = 60;

rc::Gen<assembly_step> anyStep(const rc::Gen<int> &kinds)
{
    return rc::gen::build<assembly_step>(rc::gen::set(&assembly_step::kind, kinds),
                                         rc::gen::set(&assembly_step::subject, rc::gen::inRange(0, 60)),
                                         rc::gen::set(&assembly_step::amount, rc::gen::inRange(0, 60000)));
}

} // namespace

void showValue(const assembly_step &step, std::ostream &out)
{
    out << '{' << step.kind << ',' << step.subject << ',' << step.amount << '}';
}

void checkFaults(const rc::Gen<int> &kinds)
{
    int steps = 0;
    const auto property = [&] {
        const auto seed = *rc::gen::arbitrary<std::uint16_t>();
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<assembly_step>>(stepsPerCase, anyStep(kinds)));
        assembly_simulation simulation(3, 8, seed);
        simulation.heal(std::chrono::seconds(20));
        simulation.beginTraffic();
        for (const auto &step : plan) {
            simulation.apply(step);
            ++steps;
            if (!simulation.violation().empty()) {
                RC_FAIL(simulation.violation() + " (step " + std::to_string(steps) + ")");
            }
        }
        simulation.heal(recoveryTime);
        for (const auto &model : simulation.engine().models) {
            if (simulation.servingGroups(model.id) == 0 && simulation.wantedGroups(model.id) > 0) {
                RC_FAIL("no group of " + model.id.value() + ": " + simulation.summary());
            }
        }
        if (!simulation.violation().empty()) {
            RC_FAIL(simulation.violation() + " (step " + std::to_string(steps) + ")");
        }
    };
    checkProperty("assembly", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}

} // namespace vetchpost::test
