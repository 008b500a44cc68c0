// SPDX-License-Identifier: Apache-2.0
// The steady clock does not advance while a machine is suspended. A daemon that measured ages with it would accept revoked keys, believe
// that it holds a lapsed lease and relay requests past their deadline, for as long as the suspension lasted.
#include "Libraries/Assembly/coordination_term.h"
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/Suspension/suspendedClock.h"

#include <future>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("The monotonic clock includes the time of a suspension")
{
    const auto before = monotonicNow();
    suspend(duration(5000));
    CHECK(monotonicNow() - before >= duration(5000));
    CHECK(monotonicNow() - before < duration(5500));
}

TEST_CASE("A coordinator that was suspended beyond its lease does not hold it")
{
    const std::optional<coordination_term> term = coordination_term{store_revision(1), lease_number(1), monotonicNow() + duration(2000)};
    CHECK(isHeldFor(term, duration(), monotonicNow()));
    suspend(duration(2000));
    CHECK_FALSE(isHeldFor(term, duration(), monotonicNow()));
}

TEST_CASE("A daemon that was suspended for longer than keys are valid accepts none until it knows that they are current")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    fixture.start();
    CHECK(fixture.sendRequest("/once/").status == 200);
    fixture.stopStore();
    suspend(duration(1600));
    CHECK(fixture.sendRequest("/once/").status == 503);
    CHECK(replica.requests().size() == 1);
}

TEST_CASE("A request whose deadline passed during a suspension is answered at once")
{
    const scripted_replica silent([](const std::string & /*request*/) { return std::string(30, pauseMarker); });
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", silent);
    fixture.start();
    auto answer = std::async(std::launch::async, [&] { return fixture.sendRequestWithTimeout("/once/", duration(2400)); });
    std::this_thread::sleep_for(duration(400));
    suspend(duration(3000));
    const auto woken = monotonicNow();
    CHECK(answer.get().status == 504);
    CHECK(monotonicNow() - woken < duration(700));
}

TEST_CASE("A retry after a suspension passes on no more time than is left")
{
    std::atomic<bool> isFirst = true;
    const auto lostOnce = [&](const std::string &request) {
        if (isFirst.exchange(false)) {
            suspend(duration(1500));
            return std::string();
        }
        return successAnswer(request);
    };
    const scripted_replica one(lostOnce);
    const scripted_replica two(lostOnce);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", one);
    fixture.addPlainReplica("i-2", two);
    fixture.start();
    CHECK(fixture.sendRequestWithTimeout("/again/", duration(2400)).status == 200);
    std::vector<int> times;
    for (const auto *replica : {&one, &two}) {
        for (const auto &request : replica->requests()) {
            times.push_back(std::stoi(headerOf(request, "Deadline-Ms")));
        }
    }
    REQUIRE(times.size() == 2);
    CHECK(std::min(times[0], times[1]) < 1000);
}

TEST_CASE("A planned stop that includes a suspension ends within its grace period")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("i-1", replica);
    constexpr duration grace(8000);
    fixture.setStopGrace(grace);
    fixture.start();
    const auto asked = monotonicNow();
    auto stop = std::async(std::launch::async, [&] { fixture.stopDaemon(); });
    std::this_thread::sleep_for(duration(200));
    suspend(duration(6000));
    stop.get();
    CHECK(monotonicNow() - asked <= grace);
}
