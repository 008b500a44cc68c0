// SPDX-License-Identifier: Apache-2.0
// How soon all daemons refuse a part of prompts after replicas have terminated under it, simulated with the code that the daemons run.
#include "Tests/Feed/feedSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// A daemon that has been in contact with the others for this long must know the part.
constexpr duration contactTime(3000);
/// The ends that suffice for a refusal.
constexpr int endsForPart = 3;
const part_key deadlyPart{model_id("m"), part_identity("00112233445566778899aabbccddeeff")};

/// Daemons of a feed_simulation that exchange their tables of parts.
class part_sync_simulation
{
public:
    explicit part_sync_simulation(int daemons)
        : feed(daemons, 3)
        , m_nodes(static_cast<std::size_t>(daemons))
    {
        feed.didTick = [this](int daemon) { tick(daemon); };
        feed.didReceive = [this](int daemon, const endpoint &from, const feed_message &message) { receive(daemon, from, message); };
        feed.advance(duration(4000));
    }

    /// Records at a daemon that a replica ended with an attempt that had the part, each time another request.
    void endReplica(int daemon)
    {
        ++m_ends;
        recordPartEnd(m_nodes[static_cast<std::size_t>(daemon)].table, deadlyPart, replica_end(m_ends), {fullEnd, feed.now(), m_ends});
    }

    /// Records the given number of ends, 200 ms apart and at different daemons.
    void endReplicas(int number)
    {
        for (int end = 0; end < number; ++end) {
            endReplica((static_cast<int>(m_ends) * 7 + 3) % feed.daemons());
            feed.advance(duration(200));
        }
    }

    void clear(int daemon)
    {
        clearPart(m_nodes[static_cast<std::size_t>(daemon)].table, deadlyPart, feed.now());
    }

    void restart(int daemon)
    {
        m_nodes[static_cast<std::size_t>(daemon)] = {};
        feed.restart(daemon);
    }

    bool isRefusedAt(int daemon)
    {
        auto &table = m_nodes[static_cast<std::size_t>(daemon)].table;
        assess(table);
        const auto isSound = [](const part_identity & /*part*/) { return false; };
        return refusedFor(table, deadlyPart.model, {deadlyPart.part}, isSound, feed.now()).has_value();
    }

    /// Advances the time until all daemons but those in \a excluded refuse the part, or none does. Returns how long that takes, or nothing
    /// if it takes longer than \a longest.
    std::optional<duration> timeUntilEverywhere(bool isRefused, duration longest, const std::set<int> &excluded = {})
    {
        constexpr duration step(10);
        for (duration time{}; time <= longest; time += step) {
            bool isDone = true;
            for (int number = 0; number < feed.daemons() && isDone; ++number) {
                isDone = excluded.contains(number) || isRefusedAt(number) == isRefused;
            }
            if (isDone) {
                return time;
            }
            feed.advance(step);
        }
        return std::nullopt;
    }

    feed_simulation feed;

private:
    struct node
    {
        part_suspects table;
        table_sync<part_suspects> sync;
    };

    void tick(int daemon)
    {
        auto &own = m_nodes[static_cast<std::size_t>(daemon)];
        const auto source = feed.isSource(daemon) ? std::nullopt : feed.sourceOf(daemon);
        for (const auto &datagram : collectDueBatches(own.sync, own.table, source, feed.followersOf(daemon), feed.now())) {
            feed.send(daemon, datagram);
        }
    }

    void receive(int daemon, const endpoint &from, const feed_message &message)
    {
        auto &own = m_nodes[static_cast<std::size_t>(daemon)];
        if (const auto *batch = std::get_if<part_batch>(&message)) {
            feed.send(daemon, applyBatch(own.sync, own.table, *batch, from, feed.now()));
        } else if (const auto *ack = std::get_if<part_ack>(&message)) {
            applyAck(own.sync, *ack, from);
        }
    }

    std::vector<node> m_nodes;
    std::uint64_t m_ends = 0;
};

} // namespace

TEST_CASE("A part under which three replicas ended is known to all in time, even if datagrams are lost")
{
    for (const int daemons : {8, 74, 350}) {
        for (const double lost : {0.0, 0.05, 0.2}) {
            part_sync_simulation simulation(daemons);
            simulation.feed.setDatagramLoss(lost);
            simulation.endReplicas(endsForPart - 1);
            simulation.endReplica(daemons - 1);
            const auto time = simulation.timeUntilEverywhere(true, contactTime);
            INFO(daemons << " daemons, lost " << lost);
            REQUIRE(time);
            std::cout << daemons << " daemons, " << lost * 100 << " of 100 datagrams lost: known everywhere after " << time->count()
                      << " ms\n";
        }
    }
}

TEST_CASE("Ends under a part that were observed before the source stopped are not lost with it")
{
    for (const int daemons : {8, 74, 350}) {
        part_sync_simulation simulation(daemons);
        simulation.endReplicas(endsForPart - 1);
        simulation.feed.disconnect(0);
        simulation.feed.advance(duration(4000));
        simulation.feed.makeSource(1);
        simulation.feed.advance(duration(4000));
        simulation.endReplica(2);
        CHECK(simulation.timeUntilEverywhere(true, contactTime, {0}));
    }
}

TEST_CASE("A daemon that starts after a part was refused refuses it too")
{
    for (const int daemons : {8, 74, 350}) {
        part_sync_simulation simulation(daemons);
        simulation.feed.setDatagramLoss(0.05);
        simulation.endReplicas(endsForPart);
        REQUIRE(simulation.timeUntilEverywhere(true, contactTime));
        simulation.restart(daemons - 1);
        INFO(daemons << " daemons");
        CHECK_FALSE(simulation.isRefusedAt(daemons - 1));
        CHECK(simulation.timeUntilEverywhere(true, contactTime));
    }
}

TEST_CASE("A daemon that was suspended learns which parts the others refuse once it resumes")
{
    for (const int daemons : {8, 74, 350}) {
        part_sync_simulation simulation(daemons);
        constexpr duration suspension(7000);
        simulation.feed.suspend(daemons - 1, suspension);
        simulation.endReplicas(endsForPart);
        simulation.feed.advance(suspension + duration(1500));
        simulation.feed.makeSource(0);
        CHECK(simulation.timeUntilEverywhere(true, contactTime - duration(1500)));
    }
}

TEST_CASE("A part that one daemon saw answered is allowed again by all")
{
    for (const int daemons : {8, 74, 350}) {
        part_sync_simulation simulation(daemons);
        simulation.feed.setDatagramLoss(0.05);
        simulation.endReplicas(endsForPart);
        REQUIRE(simulation.timeUntilEverywhere(true, contactTime));
        simulation.clear(daemons / 2);
        CHECK(simulation.timeUntilEverywhere(false, contactTime));
    }
}

TEST_CASE("A batch of parts is decoded as it was encoded, and invalid ones are rejected")
{
    const part_batch batch{true, 17, {{deadlyPart, {{replica_end(18446744073709551615ULL), fullEnd, duration(1234), 99}}, 2}}};
    const auto message = decodeFeedMessage(encodeFeedMessage(batch));
    REQUIRE(message);
    const auto &read = std::get<part_batch>(*message);
    CHECK(read.requestsAll);
    CHECK(read.upTo == 17);
    REQUIRE(read.reports.size() == 1);
    CHECK(read.reports[0].key == deadlyPart);
    CHECK(read.reports[0].round == 2);
    REQUIRE(read.reports[0].ends.size() == 1);
    CHECK(read.reports[0].ends[0].end == batch.reports[0].ends[0].end);
    CHECK(read.reports[0].ends[0].weight == fullEnd);
    CHECK(read.reports[0].ends[0].age == duration(1234));
    CHECK(read.reports[0].ends[0].request == 99);
    CHECK(std::get<part_ack>(*decodeFeedMessage(encodeFeedMessage(part_ack{9}))).upTo == 9);
    for (const auto *invalid : {R"({"part":""})",
                                R"(5)",
                                R"({"part":"a","ends":["x"]})",
                                R"({"part":"a","ends":[{"end":1,"w":5,"age":0,"req":1}]})",
                                R"({"part":"a","ends":[{"end":1,"w":0,"age":0,"req":1}]})",
                                R"({"part":"a","ends":[{"end":1,"w":4,"age":-1,"req":1}]})"}) {
        CHECK_FALSE(decodeFeedMessage(std::string(R"({"kind":"parts","list":[)") + invalid + "]}"));
    }
}
