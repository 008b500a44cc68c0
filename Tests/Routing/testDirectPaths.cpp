// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/direct_paths.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const service_id large("large");
const service_id plain("plain");
const instance_id first("r-1");
const instance_id second("r-2");
constexpr std::size_t manyReplicas = 16;
constexpr duration connectTime(250);

instant at(int milliseconds)
{
    return instant(duration(1000000 + milliseconds));
}

/// Two replicas are tried in vain, until \a end.
bool cut(direct_paths &paths, const service_id &service, int end)
{
    recordUnreached(paths, service, first, manyReplicas, at(end) - connectTime, at(end));
    return recordUnreached(paths, service, second, manyReplicas, at(end) - connectTime, at(end));
}

} // namespace

TEST_CASE("Two replicas that are not reached, and no other one meanwhile, mean that the daemon is cut off")
{
    direct_paths paths;
    recordConnected(paths, large, at(0));
    CHECK_FALSE(recordUnreached(paths, large, first, manyReplicas, at(10), at(260)));
    CHECK_FALSE(recordUnreached(paths, large, first, manyReplicas, at(20), at(270)));
    CHECK_FALSE(isCutOff(paths, large));
    CHECK(recordUnreached(paths, large, second, manyReplicas, at(30), at(280)));
    CHECK(isCutOff(paths, large));
}

TEST_CASE("Replicas that end while others are reached do not mean that the daemon is cut off")
{
    direct_paths paths;
    for (int time = 0; time < 5000; time += 100) {
        recordConnected(paths, large, at(time));
        // Both attempts began before the last connection was established.
        CHECK_FALSE(recordUnreached(paths, large, first, manyReplicas, at(time + 50) - connectTime, at(time + 50)));
        CHECK_FALSE(recordUnreached(paths, large, second, manyReplicas, at(time + 50) - connectTime, at(time + 50)));
    }
    CHECK_FALSE(isCutOff(paths, large));
}

TEST_CASE("The only replica of a service is enough to count as cut off, since a tunnel does no harm")
{
    direct_paths paths;
    CHECK(recordUnreached(paths, plain, first, 1, at(0), at(250)));
}

TEST_CASE("A service is lost with another one until a connection to it is established")
{
    direct_paths paths;
    recordConnected(paths, plain, at(0));
    REQUIRE(cut(paths, large, 300));
    CHECK(needsTunnel(paths, plain));
    CHECK(needsTunnel(paths, service_id("never connected to")));
    CHECK_FALSE(isCutOff(paths, plain));
    recordConnected(paths, plain, at(400));
    CHECK_FALSE(needsTunnel(paths, plain));
    CHECK(needsTunnel(paths, large));
    CHECK(cutOffServices(paths) == std::set<service_id>{large});
}

TEST_CASE("A daemon relies on its connections again once they were established for the probation")
{
    direct_paths paths;
    REQUIRE(cut(paths, large, 300));
    CHECK_FALSE(recordConnected(paths, large, at(1000)));
    CHECK_FALSE(recordConnected(paths, large, at(1400)));
    CHECK(needsTunnel(paths, large));
    CHECK(recordConnected(paths, large, at(1500)));
    CHECK_FALSE(needsTunnel(paths, large));
}

TEST_CASE("A cut in the probation begins it anew, but one replica that does not answer does not")
{
    direct_paths paths;
    REQUIRE(cut(paths, large, 300));
    recordConnected(paths, large, at(1000));
    CHECK_FALSE(recordUnreached(paths, large, first, manyReplicas, at(1100), at(1200)));
    CHECK(recordConnected(paths, large, at(1500)));

    REQUIRE(cut(paths, large, 30000));
    recordConnected(paths, large, at(31000));
    CHECK_FALSE(cut(paths, large, 31350));
    CHECK_FALSE(recordConnected(paths, large, at(31500)));
    CHECK(recordConnected(paths, large, at(32000)));
}

TEST_CASE("A link that fails and recovers every second is not relied on")
{
    direct_paths paths;
    int directUses = 0;
    for (int second = 0; second < 60; ++second) {
        for (int probe = 0; probe < 1000; probe += 200) {
            const auto time = 1000 * second + probe;
            if (second % 2 == 0) {
                cut(paths, large, time);
            } else {
                recordConnected(paths, large, at(time));
            }
            directUses += needsTunnel(paths, large) ? 0 : 1;
        }
    }
    // The first probation is shorter than a second, and so is the second one until it has doubled.
    CHECK(directUses <= 4);
}
