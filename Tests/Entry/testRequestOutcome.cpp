// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/request_outcome.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

route streamRoute()
{
    route stream;
    stream.kind = route_kind::streaming;
    stream.objective = duration(500);
    stream.pauseLimit = duration(300);
    return stream;
}

request_result servedAtFirstAttempt()
{
    request_result result;
    result.outcome = request_outcome::served;
    result.attempts = 1;
    return result;
}

} // namespace

TEST_CASE("An answer is late if its first event or a pause exceeds the time limit of its route")
{
    const auto stream = streamRoute();
    CHECK(outcomeOfAnswer(stream, 200, duration(500), duration(300)) == request_outcome::served);
    CHECK(outcomeOfAnswer(stream, 200, duration(501), duration(0)) == request_outcome::late);
    CHECK(outcomeOfAnswer(stream, 200, duration(20), duration(301)) == request_outcome::late);
    CHECK(outcomeOfAnswer(stream, 500, duration(20), duration(0)) == request_outcome::failed);
    CHECK(outcomeOfAnswer(stream, 404, duration(20), duration(0)) == request_outcome::failed);
    CHECK(outcomeOfAnswer(route(), 200, duration(90000), duration(90000)) == request_outcome::served);
}

TEST_CASE("Only a request that the first replica served in time needs no log line of its own")
{
    CHECK(isServedAtFirstAttempt(servedAtFirstAttempt()));
    auto result = servedAtFirstAttempt();
    result.attempts = 2;
    CHECK_FALSE(isServedAtFirstAttempt(result));
    for (const auto outcome : {request_outcome::late,
                               request_outcome::failed,
                               request_outcome::refused,
                               request_outcome::broken_off,
                               request_outcome::caller_left}) {
        result = servedAtFirstAttempt();
        result.outcome = outcome;
        CHECK_FALSE(isServedAtFirstAttempt(result));
    }
}

TEST_CASE("Finished requests are counted by kind of route and outcome")
{
    metrics counters;
    const request_metrics figures(counters);
    auto result = servedAtFirstAttempt();
    result.timeToFirstEvent = duration(40);
    result.elapsed = duration(900);
    figures.record(route_kind::streaming, result);
    const auto text = counters.text();
    CHECK(text.find("vetchpost_first_event_seconds_bucket{kind=\"streaming\",outcome=\"served\",le=\"0.05\"} 1") != std::string::npos);
    CHECK(text.find("vetchpost_request_seconds_sum{kind=\"streaming\",outcome=\"served\"} 0.9") != std::string::npos);
    CHECK(text.find("vetchpost_request_seconds_count{kind=\"idempotent\",outcome=\"served\"} 0") != std::string::npos);
}
