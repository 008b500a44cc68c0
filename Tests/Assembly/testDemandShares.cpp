// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/demand_shares.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const model_id large("large");
const model_id small("small");
const instant start(duration(1000000));

engine_description halves()
{
    engine_description engine;
    engine.models = {{large, 8, 0.5, 1.0, duration(16000), duration(1600)}, {small, 4, 0.5, 0.6, duration(12000), duration(1100)}};
    return engine;
}

std::map<model_id, double> sharesWith(int ofLarge, int ofSmall)
{
    smoothed_demand demand;
    updateDemand(demand, {{large, ofLarge}, {small, ofSmall}}, start);
    return demandShares(demand, halves());
}

} // namespace

TEST_CASE("Without a measurement, or with few requests, the configured shares apply")
{
    CHECK(demandShares({}, halves()).at(large) == Approx(0.5));
    CHECK(sharesWith(1, 5).at(small) == Approx(0.5));
}

TEST_CASE("Shares move half the way to groups that hold equally many requests each")
{
    // Groups would hold equally many requests with shares of 0.4 and 0.6. Half the way there from the configured shares of 0.5 is the
    // geometric mean of both, normalised.
    const auto shares = sharesWith(80, 240);
    CHECK(shares.at(large) == Approx(0.449).margin(0.001));
    CHECK(shares.at(small) == Approx(0.551).margin(0.001));
    CHECK(sharesWith(80, 160).at(large) == Approx(0.5));
}

// Its requests are refused at once, so that it would lose the rest of its share and never get a group again.
TEST_CASE("A model that holds no requests, since it serves none, keeps its share")
{
    CHECK(sharesWith(0, 400).at(large) == Approx(0.5));
    smoothed_demand demand;
    updateDemand(demand, {{large, 0}, {small, 400}}, start);
    CHECK(demandShares(demand, halves(), {{small, 20}}).at(large) >= 0.5);
}

// With a limit around the configured share an idle model would keep groups that the other one needs.
TEST_CASE("A share follows the demand beyond a quarter of the configured one, and an idle model keeps some groups")
{
    smoothed_demand demand;
    updateDemand(demand, {{large, 0}, {small, 400}}, start);
    auto engine = halves();
    engine.slots = 30;
    std::map<model_id, double> shares = {{large, 0.5}, {small, 0.5}};
    for (int i = 0; i < 20; ++i) {
        shares = demandShares(demand, engine, {{large, 5}, {small, 20}}, shares);
    }
    CHECK(shares.at(large) < 0.3);
    CHECK(shares.at(large) > 0.03);
}

// With the number of held requests as the measure, each loss of groups lowers the share and with it the number of wanted groups.
TEST_CASE("A model does not lose its share because few of its groups serve")
{
    auto engine = halves();
    engine.slots = 30;
    smoothed_demand demand;
    updateDemand(demand, {{large, 30}, {small, 600}}, start);
    CHECK(demandShares(demand, engine, {{large, 1}, {small, 20}}, {{large, 0.5}, {small, 0.5}}).at(large) == Approx(0.5));
}

TEST_CASE("Requests that wait for a slot do not raise a share")
{
    auto engine = halves();
    engine.slots = 30;
    smoothed_demand full;
    updateDemand(full, {{large, 75}, {small, 600}}, start);
    smoothed_demand over;
    updateDemand(over, {{large, 75}, {small, 6000}}, start);
    const std::map<model_id, int> serving = {{large, 5}, {small, 20}};
    CHECK(demandShares(over, engine, serving).at(small) == Approx(demandShares(full, engine, serving).at(small)));
}

TEST_CASE("A share rises within the time of a load from the host or from the weight store")
{
    const auto engine = halves();
    const std::map<model_id, double> wanted = {{large, 0.3}, {small, 0.7}};
    const auto riseAfter = [&](double prepared, duration time) {
        followed_shares shares;
        followShares(shares, {{large, 0.5}, {small, 0.5}}, {}, engine, start);
        for (auto passed = duration(100); passed <= time; passed += duration(100)) {
            followShares(shares, wanted, {{small, prepared}}, engine, start + passed);
        }
        CHECK(shares.values.at(large) + shares.values.at(small) == Approx(1));
        return (shares.values.at(small) - 0.5) / 0.2;
    };
    CHECK(riseAfter(1, duration(1100)) > 0.6);
    CHECK(riseAfter(0, duration(1100)) < 0.1);
    CHECK(riseAfter(0, duration(12000)) < 0.7);
    CHECK(riseAfter(0, duration(36000)) > 0.9);
}

TEST_CASE("A short burst hardly changes the smoothed demand, a lasting one does")
{
    smoothed_demand demand;
    updateDemand(demand, {{large, 100}, {small, 200}}, start);
    updateDemand(demand, {{large, 100}, {small, 800}}, start + duration(200));
    CHECK(demand.outstanding.at(small) < 220);
    for (int i = 1; i < 200; ++i) {
        updateDemand(demand, {{large, 100}, {small, 800}}, start + duration(200) * i);
    }
    CHECK(demand.outstanding.at(small) > 780);
}
