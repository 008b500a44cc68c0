// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_retries.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("A process that has just started may send the retries that its first attempts earn, for each service apart")
{
    entry_settings settings;
    settings.retryShare = 0.2;
    settings.retrySlack = 100;
    settings.retryWindow = duration(600000);
    metrics counters;
    service_retries retries(
        settings, [] { return std::optional(1); }, counters);
    const service_id busy("busy");
    CHECK_FALSE(retries.consume(busy, 0));
    for (int request = 0; request < 20; ++request) {
        retries.recordFirstAttempt(busy);
    }
    CHECK(retries.consume(busy, 0));
    CHECK_FALSE(retries.consume(busy, 0.5));
    CHECK_FALSE(retries.consume(service_id("other"), 0));
    CHECK(counters.text().find("vetchpost_retries_denied_total 3") != std::string::npos);
}
