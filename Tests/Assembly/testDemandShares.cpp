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

TEST_CASE("A model that holds no requests, since it serves none, keeps a part of its share")
{
    const auto shares = sharesWith(0, 400);
    CHECK(shares.at(large) == Approx(0.375));
    CHECK(shares.at(small) == Approx(0.625));
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
