// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/work_admission.h"

#include <catch2/catch.hpp>

#include <random>

using namespace vetchpost;

namespace {

constexpr instant start(duration(1000000));
constexpr duration patience(300);

queued_request work(std::uint64_t ticket, const std::string &organisation = "o", int priority = 0, instant arrived = start)
{
    queued_request request;
    request.ticket = ticket;
    request.organisation = organisation_id(organisation);
    request.priority = -priority;
    request.arrived = arrived;
    request.deadline = arrived + patience;
    return request;
}

work_admission admissionFor(int limit)
{
    work_admission admission;
    admission.limit = limit;
    return admission;
}

} // namespace

TEST_CASE("The requests of a daemon's own clients are not limited while it carries no tunnels")
{
    auto admission = admissionFor(2);
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
        CHECK(requestRoom(admission, work(ticket), false, start) == admission_result::admitted);
    }
    CHECK(admission.running == 10);
    // A tunnel finds no room beside them.
    CHECK(requestRoom(admission, work(11), true, start) == admission_result::queued);
}

TEST_CASE("A daemon of no capacity carries no tunnels")
{
    auto admission = admissionFor(0);
    CHECK(requestRoom(admission, work(1), true, start) == admission_result::queued);
    CHECK_FALSE(takeGrant(admission, 1));
}

TEST_CASE("Room goes to the highest priority first, whether its client met this daemon or another")
{
    auto admission = admissionFor(1);
    REQUIRE(requestRoom(admission, work(1), true, start) == admission_result::admitted);
    CHECK(requestRoom(admission, work(2, "o", 2), false, start) == admission_result::queued);
    CHECK(requestRoom(admission, work(3, "o", 1), true, start) == admission_result::queued);
    CHECK(requestRoom(admission, work(4, "o", 0), false, start) == admission_result::queued);
    releaseRoom(admission, true, start + duration(10));
    CHECK(takeGrant(admission, 4));
    releaseRoom(admission, false, start + duration(20));
    CHECK(takeGrant(admission, 3));
    CHECK_FALSE(takeGrant(admission, 2));
}

TEST_CASE("Work that waits no longer than its patience leaves its place to others, and a grant that is not taken goes on")
{
    auto admission = admissionFor(1);
    REQUIRE(requestRoom(admission, work(1), true, start) == admission_result::admitted);
    REQUIRE(requestRoom(admission, work(2), true, start) == admission_result::queued);
    REQUIRE(requestRoom(admission, work(3, "o", 0, start + duration(200)), true, start + duration(200)) == admission_result::queued);
    releaseRoom(admission, true, start + patience);
    CHECK_FALSE(takeGrant(admission, 2));
    withdraw(admission, 2, true, start + patience);
    // The grant of the third was not taken when it gave up.
    withdraw(admission, 3, true, start + patience + duration(1));
    CHECK(admission.running == 0);
    CHECK(admission.tunnels == 0);
    CHECK(requestRoom(admission, work(4, "o", 0, start + patience), true, start + patience) == admission_result::admitted);
}

TEST_CASE("Under twice the load that a daemon bears, priorities are served in their order and organisations alike")
{
    // One piece of work takes 100 ms and ten may run, so that a hundred a second are borne; two hundred arrive, half by tunnels. A fifth
    // has the highest priority, and one of two organisations sends seven eighths of the rest.
    auto admission = admissionFor(10);
    std::mt19937 random(1);
    std::map<std::string, int> offered;
    std::map<std::string, int> served;
    std::map<std::uint64_t, std::pair<std::string, bool>> waiting;
    std::multimap<instant, bool> running;
    std::uint64_t ticket = 0;
    // Tunnels are carried throughout.
    admission.tunnels = 1;
    admission.running = 1;
    const auto begin = [&](const std::string &kind, bool isTunnel, instant now) {
        ++served[kind];
        running.emplace(now + duration(100), isTunnel);
    };
    for (auto now = start; now < start + duration(20000); now += duration(5)) {
        while (!running.empty() && running.begin()->first <= now) {
            releaseRoom(admission, running.begin()->second, now);
            running.erase(running.begin());
        }
        const bool isUrgent = random() % 5 == 0;
        const std::string organisation = random() % 8 == 0 ? "small" : "big";
        const bool isTunnel = random() % 2 == 0;
        const auto kind = isUrgent ? "urgent" : organisation + (isTunnel ? " by tunnel" : " here");
        ++offered[kind];
        ++ticket;
        const auto result = requestRoom(admission, work(ticket, organisation, isUrgent ? 0 : 1, now), isTunnel, now);
        if (result == admission_result::admitted) {
            begin(kind, isTunnel, now);
        } else if (result == admission_result::queued) {
            waiting[ticket] = {kind, isTunnel};
        }
        for (auto next = waiting.begin(); next != waiting.end();) {
            const bool isGranted = takeGrant(admission, next->first);
            if (isGranted) {
                begin(next->second.first, next->second.second, now);
            }
            next = isGranted ? waiting.erase(next) : std::next(next);
        }
    }
    const auto share = [&](const std::string &kind) { return static_cast<double>(served[kind]) / offered[kind]; };
    CHECK(share("urgent") > 0.99);
    // The small organisation asks for less than its part, the big one for more.
    CHECK(share("small here") > 0.9);
    CHECK(share("small by tunnel") > 0.9);
    CHECK(share("big here") < 0.5);
    CHECK(std::abs(share("big here") - share("big by tunnel")) < 0.05);
}
