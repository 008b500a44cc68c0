// SPDX-License-Identifier: Apache-2.0
// Fleets in which many daemons lose all replicas at the same moment, simulated with the code that the daemons run.
#include "Libraries/Feed/proxy_codec.h"
#include "Tests/Feed/tunnelSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration settlingTime(4000);
constexpr duration detectionBound(500);
constexpr duration runTime(5000);
/// Of the requests at daemons that are not cut off, in proportion.
constexpr double wantedShare = 0.95;
/// At the largest fleet's peak a daemon has this many requests per second.
constexpr double demand = 31;
/// The smallest instances have an eighth of a core.
constexpr int capacity = 125;

double shareOf(const tunnel_simulation::counts &counts)
{
    return counts.offered == 0 ? 1 : static_cast<double>(counts.served) / counts.offered;
}

tunnel_simulation settledSimulation(int daemons)
{
    tunnel_simulation simulation(daemons, demand, capacity);
    simulation.advance(settlingTime);
    return simulation;
}

proxy_report reportOf(const endpoint &address, std::uint64_t number)
{
    return {address, {data_centre_id("z"), 5, 100, false, {service_id("s")}}, number, duration(1234)};
}

} // namespace

TEST_CASE("Requests at daemons that reach no replica are served as at the others in fleets of every size")
{
    for (const int daemons : {8, 74, 350}) {
        for (const double lost : {0.0, 0.05}) {
            auto simulation = settledSimulation(daemons);
            simulation.feed().setDatagramLoss(lost);
            simulation.cutOff([](int daemon) { return daemon % 8 < 5; });
            simulation.advance(detectionBound);
            simulation.beginCount();
            simulation.advance(runTime);
            const auto cut = simulation.atCut();
            const auto others = simulation.atOthers();
            std::cout << daemons << " daemons, " << lost * 100 << " of 100 datagrams lost: served " << shareOf(cut) << " at those cut off, "
                      << shareOf(others) << " at the others; asked " << static_cast<double>(cut.asked) / cut.offered
                      << " times a request; most tunnels at one " << simulation.mostCarried() << ", mean " << simulation.meanCarried()
                      << "\n";
            CHECK(shareOf(cut) >= wantedShare * shareOf(others));
            CHECK(shareOf(others) > 0.99);
            CHECK(cut.asked < 2 * cut.offered);
        }
    }
}

TEST_CASE("The daemons of a whole data centre that reach no replica are carried by all others, not by the nearest alone")
{
    for (const int daemons : {9, 74, 350}) {
        auto simulation = settledSimulation(daemons);
        // Of the first data centre only one daemon reaches the replicas.
        simulation.cutOff([](int daemon) { return daemon % 3 == 0 && daemon != 0; });
        simulation.advance(detectionBound);
        simulation.beginCount();
        simulation.advance(runTime);
        INFO(daemons << " daemons, most " << simulation.mostCarried() << ", mean " << simulation.meanCarried());
        CHECK(shareOf(simulation.atCut()) >= wantedShare * shareOf(simulation.atOthers()));
        CHECK(shareOf(simulation.atOthers()) > 0.99);
    }
}

TEST_CASE("A fleet that reaches no replica at all asks nobody once its daemons know")
{
    auto simulation = settledSimulation(74);
    simulation.cutOff([](int /*daemon*/) { return true; });
    simulation.advance(duration(1000));
    simulation.beginCount();
    simulation.advance(runTime);
    CHECK(simulation.atCut().served == 0);
    CHECK(simulation.atCut().asked < simulation.atCut().offered / 100);
}

TEST_CASE("A newer announcement replaces an older one, and that of an earlier run is outranked")
{
    proxy_table table;
    table.own = {"10.0.0.1", 1};
    const endpoint other{"10.0.0.2", 2};
    const instant now(duration(1000000));
    CHECK(mergeReport(table, reportOf(other, 4), now));
    CHECK_FALSE(mergeReport(table, reportOf(other, 3), now));
    CHECK_FALSE(mergeReport(table, reportOf(other, 4), now));
    CHECK(matchesReport(table, reportOf(other, 4)));

    const tunnel_proxy own{data_centre_id("z"), 7, 50, false, {}};
    CHECK(announce(table, own, now));
    CHECK_FALSE(announce(table, own, now));
    // Another daemon still holds what an earlier run announced last.
    mergeReport(table, reportOf(table.own, 40), now);
    CHECK(announce(table, own, now));
    CHECK(table.proxies.at(table.own).number == 41);
    CHECK(table.proxies.at(table.own).proxy == own);

    expireEntries(table, now + proxyLifetime);
    CHECK_FALSE(table.proxies.contains(other));
    CHECK_FALSE(mergeReport(table, {other, {}, 9, proxyLifetime}, now));
}

TEST_CASE("A batch of announcements is decoded as it was encoded, and invalid ones are rejected")
{
    const proxy_batch batch{true, 3, {reportOf({"10.0.0.2", 2}, 9)}};
    const auto message = decodeFeedMessage(encodeFeedMessage(batch));
    REQUIRE(message);
    const auto &read = std::get<proxy_batch>(*message);
    REQUIRE(read.reports.size() == 1);
    CHECK(read.reports[0].address == batch.reports[0].address);
    CHECK(read.reports[0].proxy == batch.reports[0].proxy);
    CHECK(read.reports[0].number == 9);
    CHECK(read.reports[0].age == duration(1234));
    CHECK(std::get<proxy_ack>(*decodeFeedMessage(encodeFeedMessage(proxy_ack{9}))).upTo == 9);
    for (const auto *invalid : {R"({"at":"nowhere","no":1,"age":0,"tunnels":1})",
                                R"({"at":"10.0.0.2:2","no":0,"age":0,"tunnels":1})",
                                R"({"at":"10.0.0.2:2","no":1,"age":-1,"tunnels":1})",
                                R"({"at":"10.0.0.2:2","no":1,"age":0,"tunnels":65536})",
                                R"({"at":"10.0.0.2:2","no":1,"age":0,"tunnels":"x"})",
                                R"({"at":"10.0.0.2:2","no":1,"age":0,"tunnels":1,"not":[5]})",
                                R"({"at":"10.0.0.2:2","no":1,"age":0,"tunnels":1,"not":["1","2","3","4","5","6","7","8","9"]})",
                                R"(5)"}) {
        INFO(invalid);
        CHECK_FALSE(decodeFeedMessage(std::string(R"({"kind":"proxies","list":[)") + invalid + "]}"));
    }
}
