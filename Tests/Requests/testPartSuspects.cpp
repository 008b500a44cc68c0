// SPDX-License-Identifier: Apache-2.0
#include "Tests/Requests/partSimulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const model_id model("m");
const model_id otherModel("n");
const part_identity deadly("dead");
const part_identity first("first");
const part_identity second("second");
constexpr instant start(duration(10000000));
constexpr duration apart(1000);

replica_end endAt(std::uint64_t number)
{
    return replica_end(number);
}

bool never(const part_identity & /*part*/)
{
    return false;
}

bool isRefused(const part_suspects &table,
               const std::set<part_identity> &parts,
               const model_id &of = model,
               instant now = start + apart * 10)
{
    return refusedFor(table, of, parts, never, now).has_value();
}

/// Records ends, one apart from the other, at which attempts of different requests with these parts were lost.
void recordEnds(part_suspects &table, const std::vector<std::uint64_t> &ends, const std::set<part_identity> &parts, int weight = fullEnd)
{
    for (const auto number : ends) {
        for (const auto &part : parts) {
            recordPartEnd(table, {model, part}, endAt(number), {weight, start + apart * static_cast<int>(number), number});
        }
    }
    assess(table);
}

} // namespace

TEST_CASE("A part under which three replicas ended is refused, and requests without it are not")
{
    part_suspects table;
    recordEnds(table, {1}, {deadly, first});
    recordEnds(table, {2}, {deadly, second});
    CHECK_FALSE(isRefused(table, {deadly}));
    recordEnds(table, {3}, {deadly});
    CHECK(isRefused(table, {deadly}));
    CHECK(isRefused(table, {deadly, first, second}));
    CHECK_FALSE(isRefused(table, {first, second}));
}

TEST_CASE("Parts that were together at each end are refused together, until evidence tells them apart")
{
    part_suspects table;
    recordEnds(table, {1, 2, 3}, {deadly, first});
    CHECK(isRefused(table, {deadly, first}));
    CHECK_FALSE(isRefused(table, {first}));
    CHECK_FALSE(isRefused(table, {deadly}));
    SECTION("by an answer")
    {
        CHECK(clearPart(table, {model, first}, start + apart * 4));
        assess(table);
        CHECK(isRefused(table, {deadly}));
    }
    SECTION("by an end of one of them without the other")
    {
        recordEnds(table, {4}, {deadly});
        CHECK(isRefused(table, {deadly}));
    }
    CHECK_FALSE(isRefused(table, {first}));
}

TEST_CASE("Ends of one and the same request do not speak against its parts")
{
    part_suspects table;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        recordPartEnd(table, {model, first}, endAt(number), {fullEnd, start + apart * static_cast<int>(number), 7});
    }
    assess(table);
    CHECK_FALSE(isRefused(table, {first}));
    recordPartEnd(table, {model, first}, endAt(6), {fullEnd, start + apart * 6, 8});
    assess(table);
    CHECK(isRefused(table, {first}));
}

TEST_CASE("An end that a refused part explains speaks against no request and no other part")
{
    part_suspects table;
    recordEnds(table, {1, 2, 3, 4}, {deadly});
    recordEnds(table, {1, 2, 3}, {first});
    CHECK_FALSE(isRefused(table, {first}));
    crash_suspects requests;
    const request_identity beside("beside");
    for (std::uint64_t number = 1; number <= 3; ++number) {
        recordReplicaEnd(requests, beside, organisation_id("o"), endAt(number), start);
    }
    CHECK(isRefused(requests, beside, start));
    setExplained(requests, table.explained);
    CHECK_FALSE(isRefused(requests, beside, start));
}

TEST_CASE("Two parts that crash replicas at the same time are both found")
{
    part_suspects table;
    const part_identity other("other dead");
    for (std::uint64_t number = 1; number <= 6; ++number) {
        recordEnds(table, {number}, {number % 2 == 0 ? deadly : other, first});
    }
    // The first part was at all ends and is explained by neither alone; an answer clears it.
    clearPart(table, {model, first}, start + apart * 9);
    assess(table);
    CHECK(isRefused(table, {deadly}));
    CHECK(isRefused(table, {other}));
    CHECK_FALSE(isRefused(table, {first}));
}

TEST_CASE("A familiar part that sound requests share is not refused for the ends of two parts that crash replicas")
{
    const part_identity common("c0");
    part_suspects table;
    recordEnds(table, {1, 2, 3}, {deadly});
    recordEnds(table, {4, 5}, {second});
    recordEnds(table, {1, 2, 3, 4}, {common}, familiarEnd);
    recordEnds(table, {5}, {common});
    CHECK(isRefused(table, {common, deadly}));
    CHECK_FALSE(isRefused(table, {common, first}));
}

TEST_CASE("Ends at the same moment, as of a rack, count once")
{
    part_suspects table;
    for (std::uint64_t number = 1; number <= 8; ++number) {
        recordPartEnd(table, {model, first}, endAt(number), {fullEnd, start + duration(static_cast<int>(number)), number});
    }
    assess(table);
    CHECK_FALSE(isRefused(table, {first}));
}

TEST_CASE("A part that is refused for one model is refused for others where it was not answered")
{
    part_suspects table;
    recordEnds(table, {1, 2, 3}, {deadly});
    CHECK(isRefused(table, {deadly}, otherModel));
    const auto isSound = [](const part_identity &part) { return part == deadly; };
    CHECK_FALSE(refusedFor(table, otherModel, {deadly}, isSound, start + apart * 4));
    CHECK(refusedFor(table, model, {deadly}, isSound, start + apart * 4));
}

TEST_CASE("An answer clears a part if it began after the first end, and an operator allows it for all models")
{
    part_suspects table;
    recordEnds(table, {1, 2, 3}, {deadly});
    CHECK_FALSE(clearPart(table, {model, deadly}, start + apart));
    CHECK(clearPart(table, {model, deadly}, start + apart + duration(1)));
    assess(table);
    CHECK_FALSE(isRefused(table, {deadly}));
    recordEnds(table, {4, 5, 6}, {deadly});
    CHECK(isRefused(table, {deadly}));
    CHECK(allowPart(table, deadly));
    assess(table);
    CHECK_FALSE(isRefused(table, {deadly}));
    CHECK_FALSE(allowPart(table, deadly));
}

TEST_CASE("A refusal expires after its time, and another end renews it")
{
    part_suspects table;
    recordEnds(table, {1, 2, 3}, {deadly});
    const auto expired = start + apart * 3 + refusalTime;
    CHECK(isRefused(table, {deadly}, model, expired - duration(1)));
    CHECK_FALSE(isRefused(table, {deadly}, model, expired));
    recordPartEnd(table, {model, deadly}, endAt(4), {fullEnd, expired, 4});
    assess(table);
    CHECK(isRefused(table, {deadly}, model, expired + refusalTime - duration(1)));
    expireEntries(table, expired + suspectLifetime);
    CHECK(table.suspects.empty());
}

TEST_CASE("Reports of parts are merged: ends add up, later rounds replace earlier ones, and the same report changes nothing")
{
    part_suspects one;
    part_suspects other;
    recordEnds(one, {1, 2}, {deadly});
    recordEnds(other, {2, 3}, {deadly});
    const part_key key{model, deadly};
    const auto now = start + apart * 4;
    CHECK(mergeReport(one, makeReport(key, other.suspects.at(key), now), now));
    CHECK_FALSE(mergeReport(one, makeReport(key, other.suspects.at(key), now), now));
    assess(one);
    CHECK(isRefused(one, {deadly}));
    CHECK(mergeReport(other, makeReport(key, one.suspects.at(key), now), now));
    CHECK(matchesReport(other, makeReport(key, one.suspects.at(key), now)));
    clearPart(one, key, now);
    CHECK(mergeReport(other, makeReport(key, one.suspects.at(key), now), now));
    assess(other);
    CHECK_FALSE(isRefused(other, {deadly}));
    // An end of the earlier round that arrives late.
    CHECK_FALSE(mergeReport(other, {key, {{endAt(9), fullEnd, duration(1), 9}}, 0}, now));
}

TEST_CASE("The table of parts is bounded, and the least suspected are evicted")
{
    part_suspects table;
    recordEnds(table, {1, 2, 3}, {deadly});
    for (std::uint64_t number = 0; number < 2 * maxPartSuspects; ++number) {
        recordPartEnd(table, {model, part_identity("p" + std::to_string(number))}, endAt(4), {weakEnd, start, number});
    }
    CHECK(table.suspects.size() == maxPartSuspects);
    CHECK(table.evicted == maxPartSuspects + 1);
    assess(table);
    CHECK(isRefused(table, {deadly}));
}

TEST_CASE("What an end says of a part depends on how far the attempt had come and when the part was last answered")
{
    CHECK(weightOfLoss(lost_stage::begun, std::nullopt) == fullEnd);
    CHECK(weightOfLoss(lost_stage::begun, familiarTime) == fullEnd);
    CHECK(weightOfLoss(lost_stage::begun, duration(10000)) == familiarEnd);
    CHECK(weightOfLoss(lost_stage::begun, duration(100)) == 0);
    CHECK(weightOfLoss(lost_stage::waiting, std::nullopt) == weakEnd);
    CHECK(weightOfLoss(lost_stage::waiting, duration(10000)) == 0);
    CHECK(weightOfLoss(lost_stage::first_pieces, std::nullopt) == weakEnd);
    CHECK(weightOfLoss(lost_stage::answering, std::nullopt) == 0);

    part_history history;
    const prompt_part part("ab");
    CHECK_FALSE(lastAnswerBegan(history, model, part, start));
    recordPartAnswer(history, model, part, start - duration(900), start);
    CHECK(lastAnswerBegan(history, model, part, start) == start - duration(900));
    CHECK_FALSE(lastAnswerBegan(history, otherModel, part, start));
    CHECK_FALSE(lastAnswerBegan(history, model, part, start + familiarTime));
    for (std::size_t number = 0; number < 2 * maxFamiliarParts; ++number) {
        recordPartAnswer(history, model, prompt_part(std::to_string(number)), start, start);
    }
    CHECK(history.begunAt.size() <= maxFamiliarParts);
}

namespace {

constexpr int runs = 10;

/// The loads that the simulations play.
std::vector<std::pair<std::string, part_load>> loads()
{
    part_load usual;
    part_load common;
    common.hasCommonPart = true;
    part_load sessions;
    sessions.requestsPerSession = 4;
    part_load large;
    large.daemons = 74;
    large.replicas = 60;
    large.requestsPerSecond = 450;
    large.hasCommonPart = true;
    large.requestsPerSession = 4;
    return {{"first parts", usual}, {"a common part", common}, {"sessions", sessions}, {"many daemons", large}};
}

} // namespace

TEST_CASE("Hardly any request is refused by a part for replicas that end for another reason, alone or as a rack")
{
    int lost = 0;
    int lostAndRefused = 0;
    int refused = 0;
    for (const auto &[name, load] : loads()) {
        for (unsigned seed = 1; seed <= runs; ++seed) {
            part_simulation simulation(load, seed);
            simulation.advance(duration(3000));
            for (int number = 0; number < 15; ++number) {
                simulation.terminateOne();
                simulation.advance(duration(700));
            }
            for (int number = 0; number < 3; ++number) {
                simulation.terminateRack(load.replicas / 2);
                simulation.advance(duration(5000));
            }
            lost += simulation.lost();
            lostAndRefused += simulation.lostAndRefused();
            refused += simulation.refused();
        }
    }
    std::cout << "requests that lost a replica: " << lost << ", of them refused by a part: " << lostAndRefused << "; refused on arrival "
              << refused << "\n";
    CHECK(lost > 20000);
    CHECK(lostAndRefused * 1000 < lost);
    CHECK(refused * 1000 < lost);
}

TEST_CASE("A part that crashes replicas ends five of them at most, and sound requests with the other parts go on")
{
    for (auto [name, load] : loads()) {
        for (const bool hasOneFirstPart : {false, true}) {
            int ends = 0;
            int akin = 0;
            int akinRefused = 0;
            int worst = 0;
            for (unsigned seed = 1; seed <= runs; ++seed) {
                load.deadlyParts = {"deadly"};
                load.deadlyPerSecond = 4;
                load.hasOneFirstPart = hasOneFirstPart;
                part_simulation simulation(load, seed);
                simulation.advance(duration(3000));
                simulation.setDeadly(true);
                simulation.advance(duration(20000));
                ends += simulation.deadlyEnds();
                worst = std::max(worst, simulation.deadlyEnds());
                akin += simulation.akinArrived();
                akinRefused += simulation.akinRefused();
            }
            std::cout << name << (hasOneFirstPart ? ", one first part" : "") << ": ends " << static_cast<double>(ends) / runs
                      << ", at most " << worst << "; sound requests with a part of deadly ones refused " << akinRefused << " of " << akin
                      << "\n";
            CHECK(worst <= 5);
            CHECK(akinRefused <= 0.05 * akin);
        }
    }
}

TEST_CASE("Two parts that crash replicas at once end five of them each at most")
{
    for (auto [name, load] : loads()) {
        int worst = 0;
        for (unsigned seed = 1; seed <= runs; ++seed) {
            load.deadlyParts = {"deadly", "deadly too"};
            load.deadlyPerSecond = 6;
            part_simulation simulation(load, seed);
            simulation.advance(duration(3000));
            simulation.setDeadly(true);
            simulation.advance(duration(20000));
            worst = std::max(worst, simulation.deadlyEnds());
        }
        INFO(name);
        CHECK(worst <= 10);
    }
}
