// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/service_retries.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

constexpr duration window(600000);

entry_settings settingsWithSlack(int slack)
{
    entry_settings settings;
    settings.retryShare = 0.2;
    settings.retrySlack = slack;
    settings.retryWindow = window;
    return settings;
}

/// Returns how many retries may be sent at once.
int consumeAll(service_retries &retries, const service_id &service)
{
    int sent = 0;
    while (retries.consume(service, 0)) {
        ++sent;
    }
    return sent;
}

} // namespace

TEST_CASE("A daemon that has just learned how many daemons there are may send the retries that its first attempts earn, for each service")
{
    const auto settings = settingsWithSlack(100);
    metrics counters;
    service_retries retries(
        settings,
        [] {
            return std::optional(counted_daemons{1, monotonicNow()});
        },
        counters);
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

TEST_CASE("A daemon that no longer knew how many daemons there are is granted no part of the slack before it has known it for a window")
{
    const auto settings = settingsWithSlack(100);
    metrics counters;
    std::optional<counted_daemons> known{{4, monotonicNow() - window}};
    service_retries retries(
        settings, [&known] { return known; }, counters);
    const service_id service("service");
    CHECK(consumeAll(retries, service) == 20);
    known.reset();
    CHECK(consumeAll(retries, service) == 0);
    known = counted_daemons{1, monotonicNow()};
    CHECK(consumeAll(retries, service) == 0);
    known->knownSince -= window;
    CHECK(consumeAll(retries, service) == 80);
}
