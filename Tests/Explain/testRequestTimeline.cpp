// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Explain/request_timeline.h"

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

request_timeline timelineOf(const std::string &request)
{
    log_collector collector;
    for (const auto *text : {entryLog, coordinatorLog}) {
        std::istringstream log(text);
        collector.addLog(log);
    }
    return collector.timelineOf(request);
}

} // namespace

TEST_CASE("A request's timeline holds its own lines, decisions about its group and state changes of its daemon, ordered by time")
{
    const auto timeline = timelineOf("r1");
    REQUIRE(timeline.entries.size() == 4);
    CHECK(timeline.entries[0].event == "decided");
    CHECK(timeline.entries[0].daemon == "d2");
    CHECK(timeline.entries[1].event == "store_lost");
    CHECK(timeline.entries[1].daemon == "d1");
    CHECK(timeline.entries[2].event == "try_ended");
    CHECK(timeline.entries[3].event == "broken_off");
    CHECK(timeline.outcomeSummary.find("broken off") != std::string::npos);
}

TEST_CASE("The timeline of a request that is refused as a crashing request holds the replica terminations under its other attempts")
{
    std::istringstream log(
        R"({"ms":1000,"daemon":"d1","part":"request","event":"try_ended","request":"r1","replica":"i-1","identity":"aa","replica_found":"ended","end":"lost"}
{"ms":1500,"daemon":"d2","part":"request","event":"try_ended","request":"r2","replica":"i-2","identity":"aa","replica_found":"there","end":"lost"}
{"ms":1600,"daemon":"d2","part":"request","event":"try_ended","request":"r3","replica":"i-1","identity":"bb","replica_found":"ended","end":"lost"}
{"ms":2000,"daemon":"d2","part":"crash","event":"request_refused","identity":"aa","ends":"1 2 3","why":"another daemon tells of it"}
{"ms":90000,"daemon":"d2","part":"request","event":"refused","request":"r9","identity":"aa","kind":"crashing_request"})");
    log_collector collector;
    collector.addLog(log);
    const auto timeline = collector.timelineOf("r9");
    REQUIRE(timeline.entries.size() == 3);
    CHECK(timeline.entries[0].details.find("request=r1") != std::string::npos);
    CHECK(timeline.entries[1].event == "request_refused");
    CHECK(timeline.entries[2].event == "refused");
}

TEST_CASE("The timeline of a request that is refused with closed backends holds the constraints that its daemon received")
{
    std::istringstream log(
        R"({"ms":1000,"daemon":"d1","part":"constraint","event":"replica_notice","request":"r1","replica":"i-1","limit":-1,"rest_ms":3000}
{"ms":1100,"daemon":"d2","part":"constraint","event":"replica_notice","request":"r2","replica":"i-2","limit":2.5,"rest_ms":0}
{"ms":1500,"daemon":"d1","part":"request","event":"refused","request":"r3","closed":"1 rest, 0 limited, 0 leave","kind":"no_serving_group"}
{"ms":1600,"daemon":"d1","part":"request","event":"refused","request":"r4","closed":"","kind":"no_serving_group"})");
    log_collector collector;
    collector.addLog(log);
    const auto timeline = collector.timelineOf("r3");
    REQUIRE(timeline.entries.size() == 2);
    CHECK(timeline.entries[0].event == "replica_notice");
    CHECK(timeline.entries[0].details.find("i-1") != std::string::npos);
    CHECK(timeline.entries[1].event == "refused");
    CHECK(collector.timelineOf("r4").entries.size() == 1);
}

TEST_CASE("Truncated lines and lines of other programs are counted and ignored")
{
    CHECK(timelineOf("r1").unreadableLines == 2);
}

TEST_CASE("The timeline of a request that no line names is empty")
{
    CHECK(timelineOf("r9").entries.empty());
    CHECK(timelineOf("r9").outcomeSummary.empty());
    CHECK(timelineOf("").entries.empty());
}

TEST_CASE("A request without lines of its own is found in its daemon's batches of request ids")
{
    log_collector collector;
    std::istringstream log(R"({"ms":900,"daemon":"d1","part":"request","event":"roll","arrived":"a1 a11","served":"","left_out":0}
{"ms":1400,"daemon":"d1","part":"request","event":"roll","arrived":"a2","served":"a1","left_out":0}
{"ms":1500,"daemon":"d1","part":"daemon","event":"started"})");
    collector.addLog(log);
    const auto served = collector.timelineOf("a1");
    REQUIRE(served.entries.size() >= 2);
    CHECK(served.entries[0].event == "arrived");
    CHECK(served.entries[1].event == "served");
    CHECK(served.outcomeSummary.find("served in time") != std::string::npos);
    const auto killed = collector.timelineOf("a2");
    CHECK(killed.outcomeSummary.find("killed") != std::string::npos);
    CHECK(killed.entries.back().event == "started");
    CHECK(collector.timelineOf("a").entries.empty());
}

TEST_CASE("A timeline lists the outcomes of other requests at the same replica in the same period")
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
    collector.addLog(log);
    REQUIRE(collector.timelineOf("r1").otherRequests.size() == 1);
    CHECK(collector.timelineOf("r1").otherRequests.front().ends_with(
        "i-1 in the same period, except those served in time: 1 late, 2 silent"));
    CHECK(collector.timelineOf("r6").otherRequests.empty());
}

TEST_CASE("The timeline says how dispatchers placed or refused the attempts, once for each attempt")
{
    std::istringstream log(
        R"({"ms":900,"daemon":"d1","part":"dispatch","event":"dispatcher_silent","dispatcher":"d4"}
{"ms":1000,"daemon":"d1","part":"request","event":"try_ended","request":"r1","replica":"h-1","end":"not_run","dispatch":"d3: granted after 12 ms"}
{"ms":1050,"daemon":"d1","part":"request","event":"answered","request":"r1","replica":"h-2","dispatch":"d4: not asked, it does not answer"}
{"ms":1060,"daemon":"d1","part":"request","event":"try_ended","request":"r2","replica":"h-2","end":"lost","dispatch":"d3: granted after 2 ms"}
{"ms":1070,"daemon":"d1","part":"request","event":"answered","request":"r2","replica":"h-2","dispatch":"d3: granted after 2 ms"}
{"ms":1080,"daemon":"d1","part":"request","event":"refused","request":"r3","dispatch":"d3: refused after 4 ms"}
{"ms":1090,"daemon":"d1","part":"request","event":"answered","request":"r4","replica":"h-2","dispatch":""})");
    log_collector collector;
    collector.addLog(log);
    const auto placements = collector.timelineOf("r1").placements;
    REQUIRE(placements.size() == 2);
    CHECK(placements[0] == "A dispatcher placed an attempt at h-1 (d3: granted after 12 ms)");
    CHECK(placements[1] == "An attempt was placed without a dispatcher (d4: not asked, it does not answer)");
    CHECK(collector.timelineOf("r1").entries.front().event == "dispatcher_silent");
    CHECK(collector.timelineOf("r2").placements.size() == 1);
    CHECK(collector.timelineOf("r3").placements.front().starts_with("A dispatcher refused the request"));
    CHECK(collector.timelineOf("r4").placements.empty());
}
