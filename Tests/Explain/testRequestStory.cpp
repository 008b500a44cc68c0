// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Explain/request_story.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace vetchpost;

namespace {

constexpr auto entryLog = R"(  1.2 d1 {"ms":900,"daemon":"d1","part":"store","event":"store_lost","why":"timeout"}
{"ms":1000,"daemon":"d1","part":"request","event":"try_ended","request":"r1","replica":"i-1","group":"g7","end":"silent"}
{"ms":1400,"daemon":"d1","part":"request","event":"broken_off","request":"r1","why":"the stream broke off"}
{"ms":1450,"daemon":"d1","part":"request","event":"answered","request":"r2","replica":"i-1"}
{"ms":1500,"daemon":"d1","part":"request","event":"answ)";

constexpr auto coordinatorLog
    = R"({"ms":700,"daemon":"d2","part":"assembly","event":"decided","what":"group=g7 closing: a member does not answer: i-4"}
{"ms":800,"daemon":"d2","part":"assembly","event":"decided","what":"group=g8 serving"}
{"ms":850,"daemon":"d2","part":"store","event":"store_lost"}
not a line of ours
{"ms":90000,"daemon":"d2","part":"assembly","event":"looked","replica":"i-1"})";

request_story storyOf(const std::string &request)
{
    log_collector collector;
    for (const auto *text : {entryLog, coordinatorLog}) {
        std::istringstream log(text);
        collector.take(log);
    }
    return collector.storyOf(request);
}

} // namespace

TEST_CASE("A request's story holds its own lines, what became of its group, and what befell its daemon, in the order of time")
{
    const auto story = storyOf("r1");
    REQUIRE(story.entries.size() == 4);
    CHECK(story.entries[0].event == "decided");
    CHECK(story.entries[0].daemon == "d2");
    CHECK(story.entries[1].event == "store_lost");
    CHECK(story.entries[1].daemon == "d1");
    CHECK(story.entries[2].event == "try_ended");
    CHECK(story.entries[3].event == "broken_off");
    CHECK(story.verdict.find("broken off") != std::string::npos);
}

TEST_CASE("The story of a request that is refused for its repeats names the replicas that ended under the others")
{
    std::istringstream log(
        R"({"ms":1000,"daemon":"d1","part":"request","event":"try_ended","request":"r1","replica":"i-1","identity":"aa","replica_found":"ended","end":"lost"}
{"ms":1500,"daemon":"d2","part":"request","event":"try_ended","request":"r2","replica":"i-2","identity":"aa","replica_found":"there","end":"lost"}
{"ms":1600,"daemon":"d2","part":"request","event":"try_ended","request":"r3","replica":"i-1","identity":"bb","replica_found":"ended","end":"lost"}
{"ms":2000,"daemon":"d2","part":"crash","event":"request_refused","identity":"aa","ends":"1 2 3","why":"another daemon tells of it"}
{"ms":90000,"daemon":"d2","part":"request","event":"refused","request":"r9","identity":"aa","kind":"crashing_request"})");
    log_collector collector;
    collector.take(log);
    const auto story = collector.storyOf("r9");
    REQUIRE(story.entries.size() == 3);
    CHECK(story.entries[0].details.find("request=r1") != std::string::npos);
    CHECK(story.entries[1].event == "request_refused");
    CHECK(story.entries[2].event == "refused");
}

TEST_CASE("The story of a request that found all places closed names what the replicas had said")
{
    std::istringstream log(
        R"({"ms":1000,"daemon":"d1","part":"constraint","event":"replica_notice","request":"r1","replica":"i-1","limit":-1,"rest_ms":3000}
{"ms":1100,"daemon":"d2","part":"constraint","event":"replica_notice","request":"r2","replica":"i-2","limit":2.5,"rest_ms":0}
{"ms":1500,"daemon":"d1","part":"request","event":"refused","request":"r3","closed":"1 rest, 0 limited, 0 leave","kind":"no_serving_group"}
{"ms":1600,"daemon":"d1","part":"request","event":"refused","request":"r4","closed":"","kind":"no_serving_group"})");
    log_collector collector;
    collector.take(log);
    const auto story = collector.storyOf("r3");
    REQUIRE(story.entries.size() == 2);
    CHECK(story.entries[0].event == "replica_notice");
    CHECK(story.entries[0].details.find("i-1") != std::string::npos);
    CHECK(story.entries[1].event == "refused");
    CHECK(collector.storyOf("r4").entries.size() == 1);
}

TEST_CASE("Lines that are cut off or of another program are counted and passed over")
{
    CHECK(storyOf("r1").unreadable == 2);
}

TEST_CASE("A request that nobody names has no story")
{
    CHECK(storyOf("r9").entries.empty());
    CHECK(storyOf("r9").verdict.empty());
    CHECK(storyOf("").entries.empty());
}

TEST_CASE("A request that has no lines of its own is found where its daemon names it among others")
{
    log_collector collector;
    std::istringstream log(R"({"ms":900,"daemon":"d1","part":"request","event":"roll","arrived":"a1 a11","served":"","left_out":0}
{"ms":1400,"daemon":"d1","part":"request","event":"roll","arrived":"a2","served":"a1","left_out":0}
{"ms":1500,"daemon":"d1","part":"daemon","event":"started"})");
    collector.take(log);
    const auto served = collector.storyOf("a1");
    REQUIRE(served.entries.size() >= 2);
    CHECK(served.entries[0].event == "arrived");
    CHECK(served.entries[1].event == "served");
    CHECK(served.verdict.find("served in time") != std::string::npos);
    const auto killed = collector.storyOf("a2");
    CHECK(killed.verdict.find("killed") != std::string::npos);
    CHECK(killed.entries.back().event == "started");
    CHECK(collector.storyOf("a").entries.empty());
}

TEST_CASE("A story tells how other requests fared at the same replica meanwhile")
{
    log_collector collector;
    std::istringstream log(
        R"({"ms":1000,"daemon":"d1","part":"request","event":"try_ended","request":"r1","replica":"i-1","end":"caller_left"}
{"ms":1000,"daemon":"d1","part":"request","event":"caller_left","request":"r1","replica":"i-1"}
{"ms":1500,"daemon":"d2","part":"request","event":"try_ended","request":"r2","replica":"i-1","end":"silent"}
{"ms":1600,"daemon":"d2","part":"request","event":"answered","request":"r3","replica":"i-1","outcome":"late"}
{"ms":1700,"daemon":"d1","part":"request","event":"try_ended","request":"r4","replica":"i-1","end":"silent"}
{"ms":1700,"daemon":"d1","part":"request","event":"try_ended","request":"r5","replica":"i-2","end":"lost"}
{"ms":9000,"daemon":"d1","part":"request","event":"try_ended","request":"r6","replica":"i-1","end":"lost"})");
    collector.take(log);
    REQUIRE(collector.storyOf("r1").neighbours.size() == 1);
    CHECK(collector.storyOf("r1").neighbours.front().ends_with("i-1 meanwhile, beside those served in time: 1 late, 2 silent"));
    CHECK(collector.storyOf("r6").neighbours.empty());
}
