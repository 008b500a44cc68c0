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

request_end servedByTheFirst()
{
    request_end end;
    end.outcome = request_outcome::served;
    end.tries = 1;
    return end;
}

} // namespace

TEST_CASE("An answer is in time by its route's times for the first event and for pauses")
{
    const auto stream = streamRoute();
    CHECK(outcomeOfAnswer(stream, 200, duration(500), duration(300)) == request_outcome::served);
    CHECK(outcomeOfAnswer(stream, 200, duration(501), duration(0)) == request_outcome::late);
    CHECK(outcomeOfAnswer(stream, 200, duration(20), duration(301)) == request_outcome::late);
    CHECK(outcomeOfAnswer(stream, 500, duration(20), duration(0)) == request_outcome::failed);
    CHECK(outcomeOfAnswer(stream, 404, duration(20), duration(0)) == request_outcome::failed);
    CHECK(outcomeOfAnswer(route(), 200, duration(90000), duration(90000)) == request_outcome::served);
}

TEST_CASE("Only a request that the first replica served in time is ordinary")
{
    CHECK(isOrdinary(servedByTheFirst()));
    auto end = servedByTheFirst();
    end.tries = 2;
    CHECK_FALSE(isOrdinary(end));
    for (const auto outcome : {request_outcome::late,
                               request_outcome::failed,
                               request_outcome::refused,
                               request_outcome::broken_off,
                               request_outcome::caller_left}) {
        end = servedByTheFirst();
        end.outcome = outcome;
        CHECK_FALSE(isOrdinary(end));
    }
}

TEST_CASE("How requests end is counted by kind of route and outcome")
{
    metrics counters;
    const request_metrics figures(counters);
    auto end = servedByTheFirst();
    end.firstEvent = duration(40);
    end.held = duration(900);
    figures.note(route_kind::streaming, end);
    const auto text = counters.text();
    CHECK(text.find("vetchpost_first_event_seconds_bucket{kind=\"streaming\",outcome=\"served\",le=\"0.05\"} 1") != std::string::npos);
    CHECK(text.find("vetchpost_request_seconds_sum{kind=\"streaming\",outcome=\"served\"} 0.9") != std::string::npos);
    CHECK(text.find("vetchpost_request_seconds_count{kind=\"idempotent\",outcome=\"served\"} 0") != std::string::npos);
}
