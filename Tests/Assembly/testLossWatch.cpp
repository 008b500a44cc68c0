// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/loss_watch.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start = instant(duration(1000000));
const instance_id head("h-1");

model_standing standing(const std::string &model, int wanted, int serving)
{
    model_standing result;
    result.model = model_id(model);
    result.wanted = wanted;
    result.serving = serving;
    return result;
}

} // namespace

TEST_CASE("A loss is found so long after it was first told, once")
{
    loss_watch watch;
    noteTold(watch, head, start);
    noteTold(watch, head, start + duration(400));
    CHECK(noteFound(watch, head, start + duration(600)) == duration(600));
    CHECK_FALSE(noteFound(watch, head, start + duration(700)));
    CHECK_FALSE(noteFound(watch, instance_id("h-2"), start + duration(700)));
}

TEST_CASE("What was told of a group that went on counts for no later loss, and is forgotten")
{
    loss_watch watch;
    noteTold(watch, head, start);
    CHECK_FALSE(noteFound(watch, head, start + duration(60000)));
    noteTold(watch, head, start);
    noteTold(watch, instance_id("h-2"), start + duration(60000));
    CHECK(watch.toldAt.size() == 1);
    noteTold(watch, head, start + duration(61000));
    CHECK(noteFound(watch, head, start + duration(61200)) == duration(200));
}

TEST_CASE("A model is mended once it has all the groups again that are wanted of it")
{
    loss_watch watch;
    CHECK(noteStandings(watch, {standing("a", 4, 4), standing("b", 2, 1)}, start).empty());
    CHECK(noteStandings(watch, {standing("a", 4, 3), standing("b", 2, 1)}, start + duration(500)).empty());
    CHECK(noteStandings(watch, {standing("a", 4, 2), standing("b", 2, 2)}, start + duration(900)) == std::vector{duration(900)});
    CHECK(noteStandings(watch, {standing("a", 4, 5), standing("b", 2, 2)}, start + duration(2500)) == std::vector{duration(2000)});
    CHECK(noteStandings(watch, {standing("a", 4, 4), standing("b", 2, 2)}, start + duration(3000)).empty());
}
