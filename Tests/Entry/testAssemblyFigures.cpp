// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_figures.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start = instant(duration(1000000));
const service_id service("large");

model_standing standing(int wanted, int serving)
{
    model_standing result;
    result.model = model_id("m");
    result.wanted = wanted;
    result.serving = serving;
    return result;
}

bool tells(const metrics &counters, const std::string &line)
{
    return counters.text().find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("Free replicas count as stranded while a model lacks groups, and a repair is timed")
{
    metrics counters;
    assembly_figures figures(counters);
    figures.noteStandings(service, {standing(4, 4)}, 2, start);
    CHECK(tells(counters, R"(vetchpost_replicas_free{service="large"} 2)"));
    CHECK(tells(counters, R"(vetchpost_replicas_stranded{service="large"} 0)"));
    figures.noteStandings(service, {standing(4, 3)}, 5, start + duration(100));
    CHECK(tells(counters, R"(vetchpost_groups{model="m",service="large",state="serving"} 3)"));
    CHECK(tells(counters, R"(vetchpost_replicas_stranded{service="large"} 5)"));
    figures.noteStandings(service, {standing(4, 4)}, 1, start + duration(2100));
    CHECK(tells(counters, "vetchpost_group_repair_seconds_sum 2"));
    CHECK(tells(counters, R"(vetchpost_replicas_stranded{service="large"} 0)"));
}

TEST_CASE("A former coordinator's gauges stand at zero, and a lack from its term counts for no later one")
{
    metrics counters;
    assembly_figures figures(counters);
    figures.noteTold(instance_id("h"), start);
    figures.noteFound(instance_id("h"), start + duration(500));
    CHECK(tells(counters, "vetchpost_group_detection_seconds_sum 0.5"));
    figures.noteStandings(service, {standing(4, 3)}, 5, start);
    figures.clear();
    CHECK(tells(counters, R"(vetchpost_groups{model="m",service="large",state="serving"} 0)"));
    CHECK(tells(counters, R"(vetchpost_replicas_free{service="large"} 0)"));
    figures.noteStandings(service, {standing(4, 4)}, 0, start + duration(90000));
    CHECK(tells(counters, "vetchpost_group_repair_seconds_count 0"));
}
