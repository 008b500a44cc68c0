// SPDX-License-Identifier: Apache-2.0
// Guards against entries of another writer that end a daemon, or keep it or its followers from following the other entries.
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Feed/feed_messages.h"
#include "Libraries/Feed/feed_publisher.h"
#include "Tests/Fakes/waiting.h"
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/PlatformAdapter/sharedStore.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr std::size_t maxDatagramSize = 65507;

std::string answer(const std::string &request)
{
    return plainAnswer(request, "s");
}

/// Returns an entry as a replica writes it, but for one field.
std::string entryWith(const std::string &address, const std::string &field = {}, const std::string &value = {})
{
    std::map<std::string, std::string> fields = {{"Service", R"("plain")"},
                                                 {"Address", "\"" + address + "\""},
                                                 {"Zone", R"("z")"},
                                                 {"Version", R"("v1")"},
                                                 {"State", R"("ready")"},
                                                 {"Slots", "4"},
                                                 {"ColdLeftMs", "0"},
                                                 {"Seq", "1"}};
    if (!field.empty()) {
        fields[field] = value;
    }
    std::string text;
    for (const auto &[name, content] : fields) {
        text += fmt::format(R"({}"{}":{})", text.empty() ? "{" : ",", name, content);
    }
    return text + "}";
}

std::string repeated(const std::string &text, int times)
{
    std::string result;
    for (int i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

std::vector<std::string> oddValues()
{
    return {"1e999999",
            "-1",
            "18446744073709551616",
            std::string(4000, '9'),
            repeated("[", 100000),
            repeated("[", 900) + repeated("]", 900),
            repeated("{\"a\":", 5000),
            R"("127.0.0.1:65536")",
            R"("127.0.0.1:99999999999999999999")",
            R"("127.0.0.1:-1")",
            "\"" + std::string(100000, 'x') + "\"",
            "\"\xff\xfe\xc3\"",
            "\"\\ud800\"",
            "null",
            "{}",
            "[null,{}]",
            R"([{"Name":7}])",
            R"({"Name":"g","epoch":18446744073709551615,"rank":2147483647,"State":"open"})",
            R"({"Name":"g","epoch":1e400,"rank":-1,"State":"ready"})"};
}

std::vector<std::string> oddEntries(const std::string &address)
{
    std::vector<std::string> entries = {"", "{", "\xff\xfe", repeated("[", 200000), std::string(1000000, 'x')};
    for (const auto &value : oddValues()) {
        entries.push_back(value);
        for (const auto *field :
             {"Service", "Address", "Zone", "State", "Slots", "ColdLeftMs", "Seq", "born", "Domain", "Models", "Staged", "group"}) {
            entries.push_back(entryWith(address, field, value));
        }
    }
    return entries;
}

} // namespace

TEST_CASE("Odd entries among those of the replicas do not keep a daemon from serving")
{
    const scripted_replica replica(answer, true);
    relay_fixture fixture;
    const auto entries = oddEntries(replica.address());
    for (std::size_t number = 0; number < entries.size(); ++number) {
        fixture.setStoredValue(fmt::format("servers/odd-{}", number), entries[number]);
    }
    for (const auto *key : {"servers/", "servers//", "servers/\xff", "servers/a b", "servers/a\r\nb: c"}) {
        fixture.setStoredValue(key, entryWith(replica.address()));
    }
    fixture.addPlainReplica("sound", replica);
    fixture.start();
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.sendRequest("/again/").status == 200);
    }
}

TEST_CASE("Odd values of the other keys do not keep a daemon from serving")
{
    const scripted_replica replica(answer, true);
    for (const auto &value : oddValues()) {
        relay_fixture fixture;
        for (const auto *key :
             {"vetchpost/coordinator", "vetchpost/crashing-requests", "vetchpost/settled-era", "op/evacuate/y", "op/other"}) {
            fixture.setStoredValue(key, value);
        }
        fixture.addPlainReplica("sound", replica);
        fixture.start();
        CAPTURE(value.substr(0, 40));
        CHECK(fixture.sendRequest("/again/").status == 200);
    }
}

TEST_CASE("An accepted entry fits into a datagram to other daemons, beside as many others as are sent with it")
{
    const platform_dialect dialect;
    int accepted = 0;
    for (const auto &entry : oddEntries("127.0.0.1:9")) {
        reason why;
        const auto replica = dialect.readReplica(instance_id("i-1"), entry, why);
        if (!replica) {
            continue;
        }
        ++accepted;
        feed_update update;
        for (std::size_t number = 0; number < maxChangesPerDatagram; ++number) {
            update.changes.push_back({instance_id(fmt::format("i-{}", number)), store_revision(number + 1), replica});
        }
        const auto bytes = encodeFeedMessage(update);
        CAPTURE(entry.substr(0, 200));
        CHECK(bytes.size() <= maxDatagramSize);
        CHECK(decodeFeedMessage(bytes).has_value());
    }
    CHECK(accepted > 0);
}

// Guards against an open group that is taken apart since another writer's entry says nothing of the group and the start of its head.
TEST_CASE("An entry without the start of its replica replaces none with it, and is a sound one where no replica tells its start")
{
    shared_store values;
    store_link link;
    linked_store service(values, link);
    const platform_dialect dialect;
    metrics counters;
    const auto entry = [](const char *rest) {
        return fmt::format(
            R"({{"Service":"large","Address":"127.0.0.1:9","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1{}}})",
            rest);
    };
    constexpr auto openHead = R"(,"born":1700000000000,"Models":[{"Name":"m"}],"group":{"Name":"g","epoch":7,"rank":0,"State":"open"})";
    const bool isBornTold = GENERATE(true, false);
    values.write("servers/head", entry(isBornTold ? openHead : ""));
    values.write("servers/other", entry(isBornTold ? R"(,"born":1700000000001)" : ""));
    store_follower follower(
        service, dialect, feedTiming(duration(1000)), counters, [] {}, [](const std::vector<replica_key> & /*leaving*/) {});
    follower.start();
    follower.recordTraffic();
    const auto known = [&](const char *id) {
        const auto directory = follower.directory();
        const auto found = directory->replicas.find(instance_id(id));
        return found == directory->replicas.end() ? std::nullopt : std::optional(found->second);
    };
    REQUIRE(isWithin(duration(3000), [&] { return known("head") && known("other"); }));
    values.write("servers/head", entry(""));
    values.write("servers/late", entry(""));
    values.write("servers/last", entry(isBornTold ? R"(,"born":1700000000002)" : ""));
    REQUIRE(isWithin(duration(3000), [&] { return known("last").has_value(); }));
    CHECK(known("late").has_value() != isBornTold);
    CHECK(known("head")->membership.has_value() == isBornTold);
    CHECK((known("head")->incarnation == replica_incarnation()) != isBornTold);
    follower.stop();
}
