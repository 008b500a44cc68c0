// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/loss_timer.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start = instant(duration(1000000));
const instance_id head("h-1");

model_group_counts groupCount(const std::string &model, int wanted, int serving)
{
    model_group_counts result;
    result.model = model_id(model);
    result.wanted = wanted;
    result.serving = serving;
    return result;
}

} // namespace

TEST_CASE("The detection time of a loss counts from its first report, and is returned once")
{
    loss_timer timer;
    recordStallReport(timer, head, start);
    recordStallReport(timer, head, start + duration(400));
    CHECK(recordDetection(timer, head, start + duration(600)) == duration(600));
    CHECK_FALSE(recordDetection(timer, head, start + duration(700)));
    CHECK_FALSE(recordDetection(timer, instance_id("h-2"), start + duration(700)));
}

TEST_CASE("A report on a group that recovered does not count for a later loss, and expires")
{
    loss_timer timer;
    recordStallReport(timer, head, start);
    CHECK_FALSE(recordDetection(timer, head, start + duration(60000)));
    recordStallReport(timer, head, start);
    recordStallReport(timer, instance_id("h-2"), start + duration(60000));
    CHECK(timer.reportedAt.size() == 1);
    recordStallReport(timer, head, start + duration(61000));
    CHECK(recordDetection(timer, head, start + duration(61200)) == duration(200));
}

TEST_CASE("A model's repair time ends once it has all wanted groups again")
{
    loss_timer timer;
    CHECK(recordGroupCounts(timer, {groupCount("a", 4, 4), groupCount("b", 2, 1)}, start).empty());
    CHECK(recordGroupCounts(timer, {groupCount("a", 4, 3), groupCount("b", 2, 1)}, start + duration(500)).empty());
    CHECK(recordGroupCounts(timer, {groupCount("a", 4, 2), groupCount("b", 2, 2)}, start + duration(900)) == std::vector{duration(900)});
    CHECK(recordGroupCounts(timer, {groupCount("a", 4, 5), groupCount("b", 2, 2)}, start + duration(2500)) == std::vector{duration(2000)});
    CHECK(recordGroupCounts(timer, {groupCount("a", 4, 4), groupCount("b", 2, 2)}, start + duration(3000)).empty());
}
