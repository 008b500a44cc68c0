// SPDX-License-Identifier: Apache-2.0
#include "platform/platform_dialect.h"
#include "platform/token_headers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace vetchpost;

TEST_CASE("The size of a request is read from its headers")
{
    const auto counts = readTokenCounts("512, 128", "40");
    CHECK(counts.prompt == 512);
    CHECK(counts.maximumAnswer == 128);
    CHECK(counts.expectedAnswer == 40);
    CHECK_FALSE(counts.isInvalid);
    CHECK(readTokenCounts("512/128", "").maximumAnswer == 128);
    CHECK_FALSE(readTokenCounts("", "").isInvalid);
    // Guesses are often far off.
    CHECK(readTokenCounts("512,128", "700").expectedAnswer == 128);
    CHECK_FALSE(readTokenCounts("512,128", "700").isInvalid);
    CHECK_FALSE(readTokenCounts("", "").prompt);

    const auto head = platform_dialect().readRequest({{"Token-Counts", "7 9"}, {"Length-Hint", "3"}});
    CHECK(head.tokens.prompt == 7);
    CHECK(head.tokens.expectedAnswer == 3);
}

TEST_CASE("Sizes that are no numbers or out of range are clamped or left out, and marked")
{
    CHECK(readTokenCounts("512,128", "1000000").expectedAnswer == 128);
    CHECK(readTokenCounts("512,128", "1000000").isInvalid);
    CHECK(readTokenCounts("512,128", "0").expectedAnswer == 1);
    CHECK(readTokenCounts("512,128", "0").isInvalid);
    CHECK(readTokenCounts("", "99999999999999999999").expectedAnswer == maximumTokens);
    for (const auto *hint : {"none", "-4", "1e3", "4 5", "4x"}) {
        CHECK(readTokenCounts("512,128", hint).isInvalid);
    }
    for (const auto *counts : {"-1,5", "many", "1,2,3", "1,0", "1000000000,1"}) {
        CHECK(readTokenCounts(counts, "").isInvalid);
    }
    CHECK(rc::check("no text is read as a number out of range", [](const std::string &counts, const std::string &hint) {
        const auto read = readTokenCounts(counts, hint);
        RC_ASSERT(read.prompt.value_or(0) >= 0 && read.prompt.value_or(0) <= maximumTokens);
        RC_ASSERT(read.expectedAnswer.value_or(1) >= 1 && read.expectedAnswer.value_or(1) <= maximumTokens);
    }));
}

TEST_CASE("The contract on pressure turns slot dispatch on, and unknown contracts are named")
{
    const platform_dialect dialect;
    CHECK(dialect.featuresOf({"pressure"}).hasSlotDispatch);
    CHECK(dialect.featuresOf({"pressure"}).unknown.empty());
    CHECK_FALSE(dialect.featuresOf({}).hasSlotDispatch);
    CHECK(dialect.featuresOf({"x", "pressure", "y"}).unknown == std::vector<std::string>{"x", "y"});
}
