// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace vetchpost::test {

/// Returns the number of steps that a fuzz test runs: the value of the environment variable VETCHPOST_FUZZ_STEPS if it is set, otherwise
/// \a inCi.
inline int fuzzSteps(int inCi)
{
    const auto *requested = std::getenv("VETCHPOST_FUZZ_STEPS");
    return requested == nullptr ? inCi : std::atoi(requested);
}

/// Checks a RapidCheck property with the given number of cases and fails the test with the counterexample. The random seed comes from the
/// environment variable RC_PARAMS.
template <class Property>
void checkProperty(const std::string &name, int cases, Property property)
{
    auto parameters = rc::detail::configuration().testParams;
    parameters.maxSuccess = cases;
    // Shrinking a case of many steps takes too long. The failure message gives the seed and the step instead.
    parameters.disableShrinking = true;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{name, name}, parameters);
    if (!result.template is<rc::detail::SuccessResult>()) {
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        FAIL(name << ": " << text.str());
    }
    SUCCEED();
}

} // namespace vetchpost::test
