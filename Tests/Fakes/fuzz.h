// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace vetchpost::test {

/// How many steps a fuzzer takes: the given number in CI, more when VETCHPOST_FUZZ_STEPS asks for them.
inline int fuzzSteps(int inCi)
{
    const auto *asked = std::getenv("VETCHPOST_FUZZ_STEPS");
    return asked == nullptr ? inCi : std::atoi(asked);
}

/// Checks a property with a fixed number of cases of a fixed length; the seed comes from RC_PARAMS.
template <class Property>
void checkProperty(const std::string &name, int cases, Property property)
{
    auto parameters = rc::detail::configuration().testParams;
    parameters.maxSuccess = cases;
    // A case of many steps takes too long to shrink; the seed and the step are told instead.
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
