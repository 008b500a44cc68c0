// SPDX-License-Identifier: Apache-2.0
#include "platform/prompt_headers.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

std::vector<prompt_part> partsOf(const std::vector<std::string> &ids)
{
    return {ids.begin(), ids.end()};
}

} // namespace

TEST_CASE("The parts of a prompt are read in their order, without the last one, which is the request's own")
{
    const auto parts = readPromptParts("5c1e07a2:800,91bd3f06:410, e4402b7d:250");
    CHECK_FALSE(parts.isInvalid);
    CHECK(parts.shared == partsOf({"5c1e07a2", "91bd3f06"}));
    CHECK(readPromptParts("5c1e07a2:800").shared.empty());
    CHECK_FALSE(readPromptParts("5c1e07a2:800").isInvalid);
    CHECK(readPromptParts("").shared.empty());
    CHECK_FALSE(readPromptParts("").isInvalid);
}

TEST_CASE("Parts that cannot be read are none, and are counted as invalid")
{
    std::string thousand;
    for (int number = 0; number < 1000; ++number) {
        thousand += std::to_string(number) + ":1,";
    }
    for (const auto &text : std::vector<std::string>{"xyz:1,ab:2",
                                                     "ab:1,cd",
                                                     "ab:-1,cd:2",
                                                     "ab:1x,cd:2",
                                                     "ab:99999999999,cd:2",
                                                     ":1,cd:2",
                                                     "ab:1,,cd:2",
                                                     "ab:1,",
                                                     ",",
                                                     thousand + "ff:1",
                                                     std::string(200, 'a') + ":1,cd:2"}) {
        INFO(text);
        const auto parts = readPromptParts(text);
        CHECK(parts.isInvalid);
        CHECK(parts.shared.empty());
    }
}

TEST_CASE("A part that is named twice counts once, and is counted as invalid")
{
    const auto parts = readPromptParts("ab:1,cd:2,ab:1,ef:3");
    CHECK(parts.isInvalid);
    CHECK(parts.shared == partsOf({"ab", "cd"}));
}
