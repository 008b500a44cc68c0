// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Feed/feed_source.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));
const endpoint there{"127.0.0.1", 7001};

/// A replica's change; an empty model stands for its removal.
replica_change entry(const std::string &id, const std::string &model, std::uint64_t revision)
{
    replica_change change{instance_id(id), revision, std::nullopt};
    if (!model.empty()) {
        change.replica.emplace();
        change.replica->id = change.id;
        change.replica->model = model_id(model);
    }
    return change;
}

/// One as long as they are on a platform.
replica_change wholeEntry(const std::string &id, const std::string &model, std::uint64_t revision)
{
    auto change = entry(id, model, revision);
    change.replica->service = service_id("gode75a");
    change.replica->address = {"10.200.164.182", 18261};
    change.replica->dataCentre = data_centre_id("sala-pamplona");
    change.replica->domain = fabric_domain_id("domain-12");
    change.replica->staged = {model_id("wuse542639")};
    change.replica->membership = {group_id("g1071900012"), formation(1071900012), 3, member_state::ready};
    return change;
}

feed_source sourceWith(int replicas)
{
    feed_source source;
    std::vector<replica_change> listed;
    listed.reserve(static_cast<std::size_t>(replicas));
    for (int i = 0; i < replicas; ++i) {
        listed.push_back(entry(fmt::format("r{}", i), "first", static_cast<std::uint64_t>(i) + 1));
    }
    noteListing(source, listed, 100, true);
    return source;
}

const feed_update &updateOf(const feed_datagram &datagram)
{
    return std::get<feed_update>(datagram.message);
}

/// One follower's copy of the entries.
struct copy
{
    std::map<instance_id, replica_change> entries;
    std::uint64_t upTo = 0;

    void take(const feed_update &update)
    {
        for (const auto &change : update.changes) {
            auto &known = entries[change.id];
            if (known.revision <= change.revision) {
                known = change;
            }
        }
        if (!update.isHistoryLost && update.after <= upTo) {
            upTo = std::max(upTo, update.upTo);
        }
    }

    std::map<instance_id, served_replica> values() const
    {
        std::map<instance_id, served_replica> result;
        for (const auto &[id, change] : entries) {
            if (change.replica) {
                result[id] = *change.replica;
            }
        }
        return result;
    }
};

} // namespace

TEST_CASE("Each message of the feed survives its encoding, and other bytes are none")
{
    feed_update update;
    update.nonce = 77;
    update.daemons = 9;
    update.configuration = key_revision(12);
    update.configurationAge = duration(340);
    update.replicasAge = duration(20);
    update.after = 5;
    update.upTo = 9;
    auto written = entry("a", "model \"quoted\"", 6);
    written.replica->address = {"10.1.0.7", 8261};
    written.replica->slots = 26;
    written.replica->isDraining = true;
    written.replica->domain = fabric_domain_id("rack");
    written.replica->staged = {model_id("m1"), model_id("m2")};
    written.replica->membership = {group_id("g7"), formation(7), 2, member_state::closing};
    update.changes = {written, entry("b", "", 9)};
    const auto decoded = decodeFeedMessage(encodeFeedMessage(update));
    REQUIRE(decoded);
    const auto &again = std::get<feed_update>(*decoded);
    CHECK(again.nonce == 77);
    CHECK(again.daemons == 9);
    CHECK(again.configuration == key_revision(12));
    CHECK(again.configurationAge == duration(340));
    CHECK(again.replicasAge == duration(20));
    CHECK(again.after == 5);
    CHECK(again.upTo == 9);
    REQUIRE(again.changes.size() == 2);
    CHECK(again.changes[0].replica == written.replica);
    CHECK(again.changes[1].revision == 9);
    CHECK_FALSE(again.changes[1].replica);

    const feed_subscription told{daemon_id("d3"), 4, 8, false, {{service_id("s"), model_id("m"), 17}}};
    const auto heard = std::get<feed_subscription>(*decodeFeedMessage(encodeFeedMessage(told)));
    CHECK_FALSE(heard.wantsReplicas);
    REQUIRE(heard.demand.size() == 1);
    CHECK(heard.demand[0].model == model_id("m"));
    CHECK(heard.demand[0].outstanding == 17);

    const stall_notice unseen{daemon_id("d1"), instance_id("i-1")};
    const auto stall = std::get<stall_notice>(*decodeFeedMessage(encodeFeedMessage(unseen)));
    CHECK(stall.replica == instance_id("i-1"));
    CHECK(std::get<feed_subscription>(*decodeFeedMessage(encodeFeedMessage(feed_subscription{daemon_id("d2"), 4, 8}))).replicasUpTo == 8);
    CHECK(std::get<group_doubt>(*decodeFeedMessage(encodeFeedMessage(group_doubt{instance_id("i-3")}))).head == instance_id("i-3"));
    CHECK(std::holds_alternative<feed_end>(*decodeFeedMessage(encodeFeedMessage(feed_end()))));
    for (const auto *bytes : {"",
                              "{",
                              "[]",
                              "7",
                              R"({"kind":"other"})",
                              "\xff\xfe",
                              R"({"kind":"update","changes":[["a"]]})",
                              R"({"kind":"update","changes":[["a",1,"service","host",99999,"z",1,false,"d",[],""]]})",
                              R"({"kind":"update","changes":[["a",1,"s","h",9,"z",1,false,"d",[],"m","g",1,0,99]]})"}) {
        CHECK_FALSE(decodeFeedMessage(bytes));
    }
}

TEST_CASE("A follower that has never listed, or is too far behind, is told to list")
{
    auto source = sourceWith(3);
    const auto answer = answerSubscription(source, {daemon_id("d1"), 5, 0}, there, start);
    REQUIRE(answer.size() == 1);
    CHECK(updateOf(answer[0]).isHistoryLost);
    CHECK(updateOf(answer[0]).nonce == 5);
    // A source that has listed nothing itself tells nothing.
    feed_source blank;
    CHECK_FALSE(updateOf(answerSubscription(blank, {daemon_id("d1"), 5, 0}, there, start).at(0)).isHistoryLost);
}

TEST_CASE("A push tells a follower what it lacks once, and its next subscription what was lost on the way")
{
    auto source = sourceWith(3);
    answerSubscription(source, {daemon_id("d1"), 1, 100}, there, start);
    CHECK(pendingPushes(source, start).empty());
    noteChanges(source, {entry("r1", "second", 101)}, 101);
    const auto pushed = pendingPushes(source, start);
    REQUIRE(pushed.size() == 1);
    CHECK(updateOf(pushed[0]).after == 100);
    CHECK(updateOf(pushed[0]).upTo == 101);
    CHECK(pendingPushes(source, start).empty());
    const auto answer = answerSubscription(source, {daemon_id("d1"), 2, 100}, there, start);
    REQUIRE(answer.size() == 1);
    CHECK(updateOf(answer[0]).changes.size() == 1);
}

TEST_CASE("A follower that does not want the replicas' changes is told of the configuration alone")
{
    auto source = sourceWith(3);
    source.configuration = key_revision(7);
    const auto answer = answerSubscription(source, {daemon_id("d1"), 1, 0, false}, there, start);
    REQUIRE(answer.size() == 1);
    CHECK_FALSE(updateOf(answer[0]).isHistoryLost);
    CHECK(updateOf(answer[0]).configuration == key_revision(7));
    noteChanges(source, {entry("r1", "second", 101)}, 101);
    CHECK(pendingPushes(source, start).empty());
}

TEST_CASE("Followers that have come equally far share one message")
{
    auto source = sourceWith(3);
    const endpoint elsewhere{"127.0.0.1", 7002};
    answerSubscription(source, {daemon_id("d1"), 1, 100}, there, start);
    answerSubscription(source, {daemon_id("d2"), 1, 100}, elsewhere, start);
    noteChanges(source, {entry("r1", "second", 101)}, 101);
    const auto pushed = pendingPushes(source, start);
    REQUIRE(pushed.size() == 1);
    CHECK(pushed[0].to == std::vector<endpoint>{there, elsewhere});
}

TEST_CASE("Many changes go in datagrams of bounded size that go on one where the other ends, and a bounded number at a time")
{
    auto source = sourceWith(0);
    std::vector<replica_change> changes;
    for (std::uint64_t i = 0; i < 100; ++i) {
        changes.push_back(wholeEntry(fmt::format("i-{:010}", i), "boye40dcee", 101 + i));
    }
    noteChanges(source, changes, 300);
    const auto answer = answerSubscription(source, {daemon_id("d1"), 1, 100}, there, start);
    CHECK(answer.size() == datagramsPerTurn);
    std::uint64_t upTo = 100;
    for (const auto &datagram : answer) {
        CHECK(updateOf(datagram).after == upTo);
        upTo = updateOf(datagram).upTo;
        CHECK(encodeFeedMessage(datagram.message).size() < 1472);
    }
    CHECK(upTo < 300);
    CHECK(updateOf(answer.back()).nonce == 1);
}

TEST_CASE("Entries that a continuous listing lacks are told as removed; after an outage followers list themselves")
{
    auto source = sourceWith(3);
    const std::vector<replica_change> listed{entry("r0", "first", 1)};
    noteListing(source, listed, 120, true);
    const auto answer = answerSubscription(source, {daemon_id("d1"), 1, 100}, there, start);
    REQUIRE(answer.size() == 1);
    CHECK(updateOf(answer[0]).changes.size() == 2);
    CHECK(updateOf(answer[0]).changes[0].replica == std::nullopt);
    noteListing(source, listed, 120, false);
    CHECK(updateOf(answerSubscription(source, {daemon_id("d1"), 2, 110}, there, start).at(0)).isHistoryLost);
}

TEST_CASE("An older listing that comes last, after an outage, does not pass for all that was known")
{
    auto source = sourceWith(3);
    noteChanges(source, {entry("r7", "new", 130)}, 130);
    noteListing(source, {entry("r0", "first", 1)}, 120, false);
    const auto answer = answerSubscription(source, {daemon_id("d1"), 1, 125}, there, start);
    CHECK(updateOf(answer.at(0)).isHistoryLost);
}

TEST_CASE("The followers that were heard lately are known by their addresses")
{
    auto source = sourceWith(1);
    for (std::uint16_t i = 0; i < 5; ++i) {
        answerSubscription(source, {daemon_id("d" + std::to_string(i)), 1, 100}, {"127.0.0.1", i}, start);
    }
    CHECK(heardFollowers(source, start).size() == 5);
    CHECK(heardFollowers(source, start + subscriberLifetime + duration(1)).empty());
}

TEST_CASE("What the followers hold is added up by model")
{
    auto source = sourceWith(1);
    const service_id service("s");
    answerSubscription(source, {daemon_id("d1"), 1, 100, true, {{service, model_id("m"), 3}, {service, model_id("n"), 1}}}, there, start);
    answerSubscription(
        source, {daemon_id("d2"), 1, 100, true, {{service, model_id("m"), 4}, {service_id("t"), model_id("m"), 9}}}, there, start);
    CHECK(demandOf(source, service, start).at(model_id("m")) == 7);
    CHECK(demandOf(source, service, start).at(model_id("n")) == 1);
    CHECK(demandOf(source, service, start + subscriberLifetime + duration(1)).empty());
}

TEST_CASE("Daemons are counted by their subscriptions, and forgotten after a while")
{
    auto source = sourceWith(1);
    CHECK(countDaemons(source, start) == 1);
    answerSubscription(source, {daemon_id("d1"), 1, 100}, there, start);
    answerSubscription(source, {daemon_id("d2"), 1, 100}, there, start + duration(3000));
    CHECK(countDaemons(source, start + duration(3000)) == 3);
    CHECK(countDaemons(source, start + subscriberLifetime + duration(1)) == 2);
}

TEST_CASE("What an update tells counts from when it was asked for, and an answer to another run's question counts for nothing")
{
    feed_follower follower;
    follower.lastNonce = 500;
    const auto asked = subscribe(follower, daemon_id("d1"), 100, true, start);
    feed_update update;
    update.nonce = asked.nonce;
    update.daemons = 4;
    // The answer was on its way for three seconds.
    CHECK(noteUpdate(follower, update, start + duration(3000)) == start);
    CHECK(follower.daemons == 4);
    CHECK(isSourceHeard(follower, duration(1100), start + duration(4099)));
    CHECK_FALSE(isSourceHeard(follower, duration(1100), start + duration(4100)));
    // Once more, unasked, or from before the restart.
    CHECK_FALSE(noteUpdate(follower, update, start + duration(3100)));
    update.nonce = 0;
    CHECK_FALSE(noteUpdate(follower, update, start + duration(3200)));
    update.nonce = 499;
    CHECK_FALSE(noteUpdate(follower, update, start + duration(3300)));
}

TEST_CASE("Whatever datagrams are lost, doubled or overtaken, a follower that goes on asking has what the source has")
{
    rc::check("followers converge", [](const std::vector<std::uint8_t> &steps) {
        auto source = sourceWith(4);
        copy follower;
        for (const auto &[key, value] : source.latest) {
            follower.entries[key] = value;
        }
        follower.upTo = source.upTo;
        std::vector<feed_update> onTheWay;
        std::uint64_t revision = source.upTo;
        std::uint64_t nonce = 0;
        const auto send = [&](const std::vector<feed_datagram> &datagrams) {
            for (const auto &datagram : datagrams) {
                onTheWay.push_back(updateOf(datagram));
            }
        };
        for (const auto step : steps) {
            switch (step % 6) {
            case 0:
            case 1:
                ++revision;
                noteChanges(source,
                            {entry(fmt::format("r{}", step / 6 % 8), step % 5 == 0 ? "" : fmt::format("v{}", revision), revision)},
                            revision);
                break;
            case 2:
                send(pendingPushes(source, start));
                break;
            case 3:
                send(answerSubscription(source, {daemon_id("d1"), ++nonce, follower.upTo}, there, start));
                break;
            case 4:
                if (!onTheWay.empty()) {
                    // Any of them arrives, and may arrive again.
                    follower.take(onTheWay[step / 6U % onTheWay.size()]);
                }
                break;
            default:
                onTheWay.clear();
                break;
            }
            RC_ASSERT(follower.upTo <= source.upTo);
        }
        while (follower.upTo < source.upTo) {
            for (const auto &datagram : answerSubscription(source, {daemon_id("d1"), ++nonce, follower.upTo}, there, start)) {
                follower.take(updateOf(datagram));
            }
        }
        copy whole;
        whole.entries = source.latest;
        RC_ASSERT(follower.values() == whole.values());
    });
}

// The number of daemons divides what all may send. A source that has just begun has not heard most of them yet, and one that is cut off
// from a third of them does not hear those although they send on.
TEST_CASE("A number of daemons that falls is not believed before the ones that are missing have had time to be heard")
{
    feed_follower follower;
    const auto told = [&](int daemons, instant now) {
        feed_update update;
        update.nonce = subscribe(follower, daemon_id("d1"), 0, true, now).nonce;
        update.daemons = daemons;
        noteUpdate(follower, update, now);
    };
    told(79, start);
    told(8, start + duration(1000));
    CHECK(follower.daemons == 79);
    told(81, start + duration(2000));
    CHECK(follower.daemons == 81);
    for (int second = 3; second <= 60; ++second) {
        told(40, start + duration(1000) * second);
    }
    CHECK(follower.daemons == 40);
}

// A daemon among 79 ends, so that 78 are told for half a minute; then the coordination changes, and the new source has heard 8 so far. The
// number that was told until a moment before must not be forgotten with the one from half a minute ago.
TEST_CASE("A number of daemons that fell a little and then a lot is the highest of the last while, not the last one told")
{
    feed_follower follower;
    const auto told = [&](int daemons, instant now) {
        feed_update update;
        update.nonce = subscribe(follower, daemon_id("d1"), 0, true, now).nonce;
        update.daemons = daemons;
        noteUpdate(follower, update, now);
    };
    told(79, start);
    for (int second = 1; second < 30; ++second) {
        told(78, start + duration(1000) * second);
    }
    told(8, start + duration(30200));
    CHECK(follower.daemons == 78);
    told(8, start + duration(58500));
    CHECK(follower.daemons == 78);
    told(8, start + duration(61000));
    CHECK(follower.daemons == 8);
}

TEST_CASE("A daemon that becomes the source goes on from the number of daemons that it was told")
{
    feed_follower follower;
    feed_update update;
    update.nonce = subscribe(follower, daemon_id("d1"), 0, true, start).nonce;
    update.daemons = 79;
    noteUpdate(follower, update, start);
    // It has heard nobody yet.
    noteDaemons(follower, 1, start + duration(500));
    CHECK(follower.daemons == 79);
}
