// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_dispatcher.h"
#include "Tests/Dispatch/loadModel.h"
#include "Tests/Fakes/fuzz.h"

#include <limits>
#include <set>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const endpoint asker{"10.0.0.1", 9};

instant at(int milliseconds)
{
    return instant(duration(milliseconds));
}

dispatch_group groupOf(const std::string &head, int slots = 4)
{
    return {instance_id(head), replica_incarnation(1), model_id("m"), data_centre_id("a"), slots, 1, {}, {}};
}

/// A dispatcher whose groups were known for so long that they are presumed to run only what it granted.
slot_dispatcher dispatcherOf(const std::vector<dispatch_group> &groups, double coldPerSecond = 0)
{
    slot_dispatcher dispatcher;
    dispatcher.coldPerSecond = coldPerSecond;
    updateGroups(dispatcher, groups, loadEngine(), at(0));
    return dispatcher;
}

constexpr int settled = 100000;

slot_request requestOf(std::uint64_t ticket, int priority = 0, const std::string &organisation = "o")
{
    slot_request request;
    request.ticket = ticket;
    request.model = model_id("m");
    request.organisation = organisation_id(organisation);
    request.priority = priority;
    request.promptTokens = 400;
    request.expectedTokens = 112;
    request.untilLate = duration(2000);
    request.timeLeft = duration(20000);
    request.dataCentre = data_centre_id("a");
    return request;
}

slot_answer ask(slot_dispatcher &dispatcher, const slot_request &request, int now = settled)
{
    return requestSlot(dispatcher, request, asker, at(now));
}

/// Grants every slot of the dispatcher; tickets from 1000.
void fill(slot_dispatcher &dispatcher, int slots)
{
    for (int i = 0; i < slots; ++i) {
        REQUIRE(ask(dispatcher, requestOf(1000 + static_cast<std::uint64_t>(i))).verdict == slot_verdict::granted);
    }
}

} // namespace

TEST_CASE("A request goes where it is expected to complete first")
{
    auto slow = groupOf("slow");
    slow.pace = 3;
    auto far = groupOf("far");
    far.dataCentre = data_centre_id("b");
    auto dispatcher = dispatcherOf({slow, far, groupOf("near")});
    CHECK(ask(dispatcher, requestOf(1)).head == instance_id("near"));
    // The same request again is answered with the same slot, so that a repeated datagram takes no second one.
    CHECK(ask(dispatcher, requestOf(1)).head == instance_id("near"));
    auto retry = requestOf(2);
    retry.excluded = {instance_id("near")};
    CHECK(ask(dispatcher, retry).head == instance_id("far"));
    auto unknown = requestOf(3);
    unknown.model = model_id("other");
    CHECK(ask(dispatcher, unknown).verdict == slot_verdict::unknown_model);
}

TEST_CASE("A group that is slower than described loses its requests to others")
{
    auto dispatcher = dispatcherOf({groupOf("a", 20), groupOf("b", 20)});
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const auto head = ask(dispatcher, requestOf(i), settled + static_cast<int>(i) * 10000).head;
        releaseSlot(
            dispatcher, i, asker, slot_end::done, at(settled + static_cast<int>(i) * 10000 + (head == instance_id("a") ? 4000 : 700)));
    }
    CHECK(ask(dispatcher, requestOf(100), settled + 900000).head == instance_id("b"));
}

TEST_CASE("A grant without a release ends by itself")
{
    auto dispatcher = dispatcherOf({groupOf("a", 1)});
    fill(dispatcher, 1);
    const auto waiting = ask(dispatcher, requestOf(1));
    CHECK(waiting.verdict == slot_verdict::waiting);
    std::vector<slot_answer> answers;
    for (int now = settled; now < settled + 10000 && answers.empty(); now += 5) {
        answers = advance(dispatcher, at(now));
    }
    REQUIRE(answers.size() == 1);
    CHECK(advance(dispatcher, at(settled + 30000)).empty());
    CHECK(dispatcher.ledger.grants.empty());
    CHECK(ask(dispatcher, requestOf(2), settled + 40000).verdict == slot_verdict::granted);
}

TEST_CASE("A group that rejected, was silent or lost a connection is avoided for all daemons")
{
    const auto end = GENERATE(slot_end::rejected, slot_end::silent, slot_end::lost);
    auto dispatcher = dispatcherOf({groupOf("a"), groupOf("b")});
    const auto head = ask(dispatcher, requestOf(1)).head;
    releaseSlot(dispatcher, 1, asker, end, at(settled));
    for (std::uint64_t i = 2; i < 6; ++i) {
        const auto next = requestSlot(dispatcher, requestOf(i), {"10.0.0.2", 9}, at(settled + 5));
        CHECK(next.verdict == slot_verdict::granted);
        CHECK(next.head != head);
    }
    // It is not forgotten: later it gets requests again, but not for all its slots at once.
    int granted = 0;
    for (std::uint64_t i = 10; i < 16; ++i) {
        granted += ask(dispatcher, requestOf(i), settled + 3100).head == head ? 1 : 0;
    }
    CHECK(granted >= 1);
    CHECK((end == slot_end::rejected || granted < 4));
}

TEST_CASE("A new dispatcher does not begin with all slots of a group at once, and learns from rejections that it is full")
{
    slot_dispatcher dispatcher;
    updateGroups(dispatcher, {groupOf("a", 20)}, loadEngine(), at(0));
    int granted = 0;
    std::uint64_t ticket = 1;
    for (; ask(dispatcher, requestOf(ticket), 0).verdict == slot_verdict::granted; ++ticket) {
        ++granted;
    }
    CHECK(granted < 10);
    CHECK(granted > 0);
    releaseSlot(dispatcher, 1, asker, slot_end::rejected, at(1));
    CHECK(ask(dispatcher, requestOf(100), 5).verdict != slot_verdict::granted);
    CHECK(runningAt(dispatcher.ledger.models.at(model_id("m")), dispatcher.ledger.models.at(model_id("m")).groups[0], at(5)) >= 19);
}

TEST_CASE("A cold group gets half of the rate that it accepts in any second")
{
    auto cold = groupOf("a", 1000);
    cold.coldLeft = duration(3000);
    auto dispatcher = dispatcherOf({cold}, 23);
    int granted = 0;
    for (int now = 0; now < 3000; ++now) {
        auto request = requestOf(static_cast<std::uint64_t>(now));
        request.untilLate = duration(200);
        granted += ask(dispatcher, request, now).verdict == slot_verdict::granted ? 1 : 0;
        for (const auto &answer : advance(dispatcher, at(now))) {
            granted += answer.verdict == slot_verdict::granted ? 1 : 0;
        }
    }
    CHECK(granted <= 3 * 23 / 2 + 1);
    CHECK(granted >= 30);
    CHECK(ask(dispatcher, requestOf(5000), 3100).verdict == slot_verdict::granted);
}

TEST_CASE("The most urgent requests go first, but every priority gets one freed slot in ten")
{
    auto dispatcher = dispatcherOf({groupOf("a", 20)});
    fill(dispatcher, 20);
    std::uint64_t ticket = 1;
    std::set<std::uint64_t> lessUrgent;
    for (int i = 0; i < 4; ++i) {
        auto request = requestOf(ticket++, 2, "p" + std::to_string(i));
        request.untilLate = duration(60000);
        CHECK(ask(dispatcher, request).verdict == slot_verdict::waiting);
        lessUrgent.insert(request.ticket);
    }
    std::vector<std::uint64_t> served;
    for (std::uint64_t held = 1000; served.size() < 20; ++held) {
        const auto next = ticket++;
        const auto request = requestOf(next, 0, "u" + std::to_string(next));
        REQUIRE(ask(dispatcher, request).verdict == slot_verdict::waiting);
        const auto answers = releaseSlot(dispatcher, held < 1020 ? held : served[held - 1020], asker, slot_end::done, at(settled));
        REQUIRE(answers.size() == 1);
        served.push_back(answers[0].ticket);
    }
    CHECK(lessUrgent.count(served.front()) == 0);
    CHECK(std::count_if(served.begin(), served.end(), [&](std::uint64_t next) { return lessUrgent.count(next) > 0; }) == 2);
}

TEST_CASE("A request that cannot be in time is refused with a time at which it is taken")
{
    auto dispatcher = dispatcherOf({groupOf("a", 4)});
    fill(dispatcher, 4);
    auto request = requestOf(1);
    request.untilLate = duration(130);
    const auto refusal = ask(dispatcher, request);
    REQUIRE(refusal.verdict == slot_verdict::refused);
    CHECK(refusal.wait >= duration(200));
    // A client that comes back before its time waits for a slot that nobody in time needs; at its time it goes first.
    request.hasReturned = true;
    request.ticket = 2;
    CHECK(ask(dispatcher, request, settled + 10).verdict == slot_verdict::waiting);
    CHECK(ask(dispatcher, requestOf(3, 0, "other"), settled + 20).verdict == slot_verdict::waiting);
    const auto due = settled + static_cast<int>(refusal.wait.count());
    advance(dispatcher, at(due));
    const auto answers = releaseSlot(dispatcher, 1000, asker, slot_end::done, at(due));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].ticket == 2);
}

TEST_CASE("No input breaks the ledger, and every waiting request gets one answer")
{
    checkProperty("dispatch", fuzzSteps(60), [] {
        auto dispatcher = dispatcherOf({groupOf("a", 3), groupOf("b", 2), groupOf("c", 1)}, 20);
        std::set<std::uint64_t> waiting;
        std::vector<std::uint64_t> granted;
        int now = settled;
        const auto handle = [&](const std::vector<slot_answer> &answers) {
            for (const auto &answer : answers) {
                RC_ASSERT(waiting.erase(answer.ticket) == 1);
                if (answer.verdict == slot_verdict::granted) {
                    granted.push_back(answer.ticket);
                }
            }
        };
        const auto number = [](int from, int to) { return *rc::gen::inRange(from, to); };
        for (std::uint64_t step = 1; step < 400; ++step) {
            now += number(0, 30);
            switch (number(0, 5)) {
            case 0:
            case 1: {
                auto request = requestOf(step, number(-2, 14), std::to_string(number(0, 4)));
                request.promptTokens = number(0, 20) == 0 ? std::numeric_limits<int>::max() : number(-10, 3000);
                request.untilLate = number(0, 20) == 0 ? duration::max() : duration(number(-100, 2000));
                request.timeLeft = number(0, 20) == 0 ? duration::min() : duration(number(0, 9000));
                request.hasReturned = number(0, 3) == 0;
                const auto answer = ask(dispatcher, request, now);
                RC_ASSERT(answer.wait >= duration());
                if (answer.verdict == slot_verdict::waiting) {
                    waiting.insert(step);
                } else if (answer.verdict == slot_verdict::granted) {
                    granted.push_back(step);
                }
                break;
            }
            case 2:
                if (!granted.empty()) {
                    const auto index = static_cast<std::size_t>(number(0, static_cast<int>(granted.size())));
                    handle(releaseSlot(dispatcher, granted[index], asker, static_cast<slot_end>(number(0, 4)), at(now)));
                }
                break;
            case 3:
                handle(advance(dispatcher, at(now)));
                break;
            default: {
                auto moved = groupOf("b", 2);
                moved.incarnation = replica_incarnation(static_cast<std::uint64_t>(number(1, 3)));
                moved.coldLeft = duration(number(0, 200));
                number(0, 4) == 0 ? updateGroups(dispatcher, {groupOf("a", 3), moved, groupOf("c", 1)}, loadEngine(), at(now)) : void();
            }
            }
            std::size_t held = 0;
            for (const auto &group : dispatcher.ledger.models.at(model_id("m")).groups) {
                RC_ASSERT(group.granted >= 0);
                RC_ASSERT(group.granted <= group.group.slots);
                held += static_cast<std::size_t>(group.granted);
            }
            RC_ASSERT(held == dispatcher.ledger.grants.size());
        }
        for (int i = 0; i < 4000; ++i) {
            handle(advance(dispatcher, at(now += 20)));
        }
        RC_ASSERT(waiting.empty());
        RC_ASSERT(dispatcher.ledger.grants.empty());
    });
}
