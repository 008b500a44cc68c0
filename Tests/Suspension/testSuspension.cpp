// SPDX-License-Identifier: Apache-2.0
// A suspended machine's steady clock stands still. A daemon that took its ages from it would, for as long as it had been suspended, accept
// withdrawn keys, hold a lease that has lapsed and pass on requests whose time is over.
#include "Libraries/Assembly/coordination_term.h"
#include "Tests/PlatformAdapter/relayWorld.h"
#include "Tests/Suspension/suspendedClock.h"

#include <future>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("The time of a suspension counts")
{
    const auto before = monotonicNow();
    suspend(duration(5000));
    CHECK(monotonicNow() - before >= duration(5000));
    CHECK(monotonicNow() - before < duration(5500));
}

TEST_CASE("A coordinator that was suspended beyond its lease does not hold it")
{
    const std::optional<coordination_term> term = coordination_term{1, lease_number(1), monotonicNow() + duration(2000)};
    CHECK(isHeldFor(term, duration(), monotonicNow()));
    suspend(duration(2000));
    CHECK_FALSE(isHeldFor(term, duration(), monotonicNow()));
}

TEST_CASE("A daemon that was suspended for longer than keys may be old takes none before it has heard that they are current")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    world.start();
    CHECK(world.ask("/once/").status == 200);
    world.stopStore();
    suspend(duration(1600));
    CHECK(world.ask("/once/").status == 503);
    CHECK(replica.requests().size() == 1);
}

TEST_CASE("A request whose time is over after a suspension is answered at once")
{
    const scripted_replica silent([](const std::string & /*request*/) { return std::string(30, pauseHere); });
    relay_world world;
    world.addPlain("i-1", silent);
    world.start();
    auto answer = std::async(std::launch::async, [&] { return world.askWithin("/once/", duration(2400)); });
    std::this_thread::sleep_for(duration(400));
    suspend(duration(3000));
    const auto woken = monotonicNow();
    CHECK(answer.get().status == 504);
    CHECK(monotonicNow() - woken < duration(700));
}

TEST_CASE("A repeat after a suspension hands on no more time than is left")
{
    std::atomic<bool> isFirst = true;
    const auto lostOnce = [&](const std::string &request) {
        if (isFirst.exchange(false)) {
            suspend(duration(1500));
            return std::string();
        }
        return good(request);
    };
    const scripted_replica one(lostOnce);
    const scripted_replica two(lostOnce);
    relay_world world;
    world.addPlain("i-1", one);
    world.addPlain("i-2", two);
    world.start();
    CHECK(world.askWithin("/again/", duration(2400)).status == 200);
    std::vector<int> times;
    for (const auto *replica : {&one, &two}) {
        for (const auto &request : replica->requests()) {
            times.push_back(std::stoi(headerOf(request, "Deadline-Ms")));
        }
    }
    REQUIRE(times.size() == 2);
    CHECK(std::min(times[0], times[1]) < 1000);
}

TEST_CASE("A planned stop over a suspension ends inside its grace")
{
    const scripted_replica replica(good);
    relay_world world;
    world.addPlain("i-1", replica);
    constexpr duration grace(8000);
    world.setStopGrace(grace);
    world.start();
    const auto asked = monotonicNow();
    auto stop = std::async(std::launch::async, [&] { world.stopDaemon(); });
    std::this_thread::sleep_for(duration(200));
    suspend(duration(6000));
    stop.get();
    CHECK(monotonicNow() - asked <= grace);
}
