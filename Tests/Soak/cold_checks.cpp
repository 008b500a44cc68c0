// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/soak_checks.h"

#include <fmt/format.h>

namespace vetchpost::test {

broken_promises checkColdReplicas(const soak_facts &facts)
{
    broken_promises broken;
    for (const auto &event : facts.events) {
        if (event.what == "cold_overrun") {
            broken.push_back({"all daemons together send a cold replica no more than it bears",
                              fmt::format("{} failed at {} requests within a second", event.replica.value(), event.value),
                              {}});
        }
    }
    return broken;
}

} // namespace vetchpost::test
