// SPDX-License-Identifier: Apache-2.0
// What the log records of a request.
#include "Tests/PlatformAdapter/relayFixture.h"

#include "Libraries/Explain/request_timeline.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("Every request is found in the log by its id, whether it was served or not")
{
    const scripted_replica failing([](const std::string &request) { return plainAnswer(request, "broken", "500 Internal Server Error"); });
    const scripted_replica breaking(
        [](const std::string &request) { return streamHead(request, "s") + chunk(event(1)) + chunk("id: 2\ndata: pi"); });
    std::map<std::string, int> statuses;
    std::istringstream log;
    {
        const output_in_file output;
        {
            relay_fixture fixture;
            fixture.addPlainReplica("i-1", failing);
            fixture.addGroupHead("h-1", breaking);
            fixture.start();
            statuses["nowhere"] = fixture.sendRequest("/nowhere/", "good", "nowhere").status;
            statuses["nobody"] = fixture.sendRequest("/once/", "bad", "nobody").status;
            statuses["failed"] = fixture.sendRequest("/once/", "good", "failed").status;
            statuses["broken"] = fixture.sendRequest("/stream/", "good", "broken").status;
        }
        {
            const scripted_replica fine(successAnswer);
            relay_fixture fixture;
            fixture.addPlainReplica("i-1", fine);
            fixture.start();
            statuses["served"] = fixture.sendRequest("/once/", "good", "served").status;
        }
        log.str(output.text());
    }
    CHECK(statuses == std::map<std::string, int>{{"nowhere", 404}, {"nobody", 401}, {"failed", 500}, {"broken", 200}, {"served", 200}});
    log_collector collector;
    collector.addLog(log);
    CHECK(collector.timelineOf("nowhere").outcomeSummary.find("was refused") != std::string::npos);
    CHECK(collector.timelineOf("nobody").outcomeSummary.find("was refused") != std::string::npos);
    CHECK(collector.timelineOf("failed").outcomeSummary.find("outcome=failed") != std::string::npos);
    CHECK(collector.timelineOf("broken").outcomeSummary.find("broken off") != std::string::npos);
    CHECK(collector.timelineOf("served").outcomeSummary.find("was served in time") != std::string::npos);
}

TEST_CASE("The log records that a client has left, and how much time the request had left")
{
    const scripted_replica slow([](const std::string &request) {
        std::this_thread::sleep_for(duration(400));
        return successAnswer(request);
    });
    std::istringstream log;
    {
        const output_in_file output;
        {
            relay_fixture fixture;
            fixture.addPlainReplica("i-1", slow);
            fixture.start();
            fixture.sendAndClose("/once/", "left");
        }
        log.str(output.text());
    }
    log_collector collector;
    collector.addLog(log);
    const auto timeline = collector.timelineOf("left");
    CHECK(timeline.outcomeSummary.find("given up by its caller") != std::string::npos);
    CHECK(timeline.outcomeSummary.find("time_left_ms=") != std::string::npos);
    CHECK(std::any_of(timeline.entries.begin(), timeline.entries.end(), [](const log_entry &entry) {
        return entry.event == "try_ended" && entry.details.find("the client has gone") != std::string::npos;
    }));
}
