// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/assembly_metrics.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start = instant(duration(1000000));
const service_id service("large");

model_group_counts standing(int wanted, int serving)
{
    model_group_counts result;
    result.model = model_id("m");
    result.wanted = wanted;
    result.serving = serving;
    return result;
}

bool hasLine(const metrics &counters, const std::string &line)
{
    return counters.text().find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("Free replicas count as stranded while a model lacks groups, and the repair time is recorded")
{
    metrics counters;
    assembly_metrics groupMetrics(counters);
    groupMetrics.recordModels(service, {standing(4, 4)}, 2, start);
    CHECK(hasLine(counters, R"(vetchpost_replicas_free{service="large"} 2)"));
    CHECK(hasLine(counters, R"(vetchpost_replicas_stranded{service="large"} 0)"));
    groupMetrics.recordModels(service, {standing(4, 3)}, 5, start + duration(100));
    CHECK(hasLine(counters, R"(vetchpost_groups{model="m",service="large",state="serving"} 3)"));
    CHECK(hasLine(counters, R"(vetchpost_replicas_stranded{service="large"} 5)"));
    groupMetrics.recordModels(service, {standing(4, 4)}, 1, start + duration(2100));
    CHECK(hasLine(counters, "vetchpost_group_repair_seconds_sum 2"));
    CHECK(hasLine(counters, R"(vetchpost_replicas_stranded{service="large"} 0)"));
}

TEST_CASE("After a term the gauges are zero, and a shortage from that term adds no repair time in a later one")
{
    metrics counters;
    assembly_metrics groupMetrics(counters);
    groupMetrics.recordStallReport(instance_id("h"), start);
    groupMetrics.recordSilentMember(instance_id("h"), start + duration(500));
    CHECK(hasLine(counters, "vetchpost_group_detection_seconds_sum 0.5"));
    groupMetrics.recordModels(service, {standing(4, 3)}, 5, start);
    groupMetrics.clear();
    CHECK(hasLine(counters, R"(vetchpost_groups{model="m",service="large",state="serving"} 0)"));
    CHECK(hasLine(counters, R"(vetchpost_replicas_free{service="large"} 0)"));
    groupMetrics.recordModels(service, {standing(4, 4)}, 0, start + duration(90000));
    CHECK(hasLine(counters, "vetchpost_group_repair_seconds_count 0"));
}
