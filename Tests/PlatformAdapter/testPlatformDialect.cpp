// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/json.h"
#include "platform/platform_dialect.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace vetchpost;

namespace {

const std::string configurationText = R"({"Version":7,
 "Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"streaming","TimeoutMs":8000,"SloMs":500,"Priority":1,
            "Backends":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":2,"Public":false,"Sticky":true,
            "Resumable":true,"GapTargetMs":300},
           {"Name":"r2","Host":"a.example","PathPrefix":"/y/","RouteType":"non_idempotent","Service":"s2","MaxAttempts":1,"Public":true}],
 "Services":[{"Name":"s1","HealthPath":"/healthz","MaxConns":474,"Protocol":"h1","Tls":false,
              "Engine":{"Slots":26,"Models":[{"Name":"m1","size":4,"Share":0.67,"pace":1.0,"LoadS":16.0,"WarmS":1.6}],
                        "LoadsPerS":4.0,"loads_at_once":6,"Contents":1,"FormMs":300.0}},
             {"Name":"s2","HealthPath":"/healthz","MaxConns":110}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1},{"Name":"t2","ApiKeys":[]}]})";

const std::string replicaText = R"({"Service":"s1","Address":"10.0.0.9:8080","Zone":"ikeja","Version":"v1","Slots":26,"State":"ready",
 "ColdLeftMs":0,"Phase":"combined","Models":[{"Name":"m1","Version":1,"Adapters":[]}],"Seq":4,"Domain":"ikeja-d0","Staged":["m2"],
 "group":{"Name":"g7","epoch":12,"rank":1,"State":"joining"}})";

bool hasHeader(const std::vector<http_header> &headers, const std::string &name, const std::string &value)
{
    return std::any_of(
        headers.begin(), headers.end(), [&](const http_header &header) { return header.name == name && header.value == value; });
}

bool hasHeaderNamed(const std::vector<http_header> &headers, const std::string &name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const http_header &header) { return header.name == name; });
}

Json::Value bodyOf(const http_call &call)
{
    return *parseJson(call.body);
}

} // namespace

TEST_CASE("A configuration of the platform is decoded into the product's types")
{
    const platform_dialect dialect;
    reason why;
    const auto configuration = dialect.readConfiguration(configurationText, why);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 2);
    const auto &stream = configuration->routes[0];
    CHECK(stream.kind == route_kind::streaming);
    CHECK(stream.mayRunAgain());
    CHECK(stream.timeout == duration(8000));
    CHECK(stream.pauseLimit == duration(300));
    CHECK(stream.services.size() == 2);
    CHECK(stream.services[1].weight == 10);
    const auto &plain = configuration->routes[1];
    CHECK_FALSE(plain.mayRunAgain());
    CHECK(plain.isPublic);
    REQUIRE(plain.services.size() == 1);
    CHECK(plain.services[0].service == service_id("s2"));
    REQUIRE(configuration->services[0].engine);
    const auto &engine = *configuration->services[0].engine;
    CHECK(engine.models[0].size == 4);
    CHECK(engine.models[0].loadTime == duration(16000));
    CHECK(engine.models[0].stagedLoadTime == duration(1600));
    CHECK(engine.concurrentLoads == 6);
    CHECK_FALSE(configuration->services[1].engine);
    REQUIRE(configuration->organisations);
    CHECK(configuration->organisations->at(0).keys.size() == 2);
    CHECK_FALSE(configuration->organisations->at(1).priority);
}

TEST_CASE("The description of an engine's times is decoded, and unusable values count as not given")
{
    const platform_dialect dialect;
    const auto engineOf = [&](const std::string &fields) {
        reason why;
        const auto text = R"({"Routes":[],"Services":[{"Name":"s","Engine":{"Slots":20,)" + fields + "}}]}";
        const auto configuration = dialect.readConfiguration(text, why);
        REQUIRE(configuration);
        return configuration->services.at(0).engine.value();
    };
    const auto engine
        = engineOf(R"("step_ms":4.5,"per_seq_ms":0.1,"read_per_s":30000,"chunk":512,"Stride":4,"usual":{"prompt":400,"answer":112},
        "delays":[{"From":"ikeja","TargetVersion":"v2","delay_ms":40},7])");
    CHECK(engine.stepMs == 4.5);
    CHECK(engine.perSequenceMs == 0.1);
    CHECK(engine.readPerSecond == 30000);
    CHECK(engine.chunkTokens == 512);
    CHECK(engine.stride == 4);
    CHECK(engine.usualPromptTokens == 400);
    CHECK(engine.usualAnswerTokens == 112);
    REQUIRE(engine.delays.size() == 1);
    CHECK(engine.delays[0].from == data_centre_id("ikeja"));
    CHECK(engine.delays[0].targetVersion == "v2");
    CHECK(engine.delays[0].delay == duration(40));
    const auto unusable
        = engineOf(R"("step_ms":-1,"per_seq_ms":"x","read_per_s":1e300,"chunk":null,"Stride":0,"usual":[],"delays":{"From":3})");
    CHECK(unusable.stepMs == 0);
    CHECK(unusable.perSequenceMs == 0);
    CHECK(unusable.readPerSecond == 0);
    CHECK(unusable.chunkTokens == 0);
    CHECK(unusable.stride == 1);
    CHECK(unusable.usualPromptTokens == 0);
    CHECK(unusable.delays.empty());
}

TEST_CASE("An invalid configuration or replica entry is rejected with a reason")
{
    const platform_dialect dialect;
    for (const auto *text : {"", "[]", "{", "{\"Routes\":5}", "{\"Routes\":[{\"Name\":\"r\",\"RouteType\":\"odd\"}]}"}) {
        reason why;
        CHECK_FALSE(dialect.readConfiguration(text, why));
        CHECK_FALSE(why.text.empty());
    }
    reason why;
    CHECK_FALSE(dialect.readReplica(instance_id("i"), "{\"Address\":\"nowhere\"}", why));
    CHECK_FALSE(dialect.readReplica(instance_id("i"), "no json", why));
}

TEST_CASE("A replica's entry is decoded with its group membership")
{
    const platform_dialect dialect;
    reason why;
    const auto replica = dialect.readReplica(instance_id("i-1"), replicaText, why);
    REQUIRE(replica);
    CHECK(replica->address == endpoint{"10.0.0.9", 8080});
    CHECK(replica->domain == fabric_domain_id("ikeja-d0"));
    CHECK(replica->model == model_id("m1"));
    CHECK(replica->staged == std::vector{model_id("m2")});
    REQUIRE(replica->membership);
    CHECK(replica->membership->group == group_id("g7"));
    CHECK(replica->membership->formed == formation(12));
    CHECK(replica->membership->rank == 1);
    CHECK(replica->membership->state == member_state::joining);
    CHECK_FALSE(replica->isDraining);
}

TEST_CASE("The client's key, organisation and connection headers are not forwarded to the replica")
{
    const platform_dialect dialect;
    const std::vector<http_header> client = {{"Host", "a.example"},
                                             {"Attempt-Id", "9c41"},
                                             {"authorization", "Bearer k1"},
                                             {"Tenant", "forged"},
                                             {"Expect-Instance", "i-other"},
                                             {"Connection", "keep-alive"},
                                             {"Content-Length", "12"},
                                             {"Deadline-Ms", "8000"},
                                             {"Model", "m1"},
                                             {"Last-Event-Id", "12"}};
    const auto head = dialect.readRequest(client);
    CHECK(head.requestId == request_id("9c41"));
    CHECK(head.key == "k1");
    CHECK(head.patience == duration(8000));
    CHECK(head.lastEvent == "12");
    const auto headers
        = dialect.replicaHeaders(client, {instance_id("i-1"), duration(7300), organisation_id("t1"), std::string("14"), std::nullopt});
    CHECK(hasHeader(headers, "Host", "a.example"));
    CHECK(hasHeader(headers, "Attempt-Id", "9c41"));
    CHECK(hasHeader(headers, "Model", "m1"));
    CHECK(hasHeader(headers, "Deadline-Ms", "7300"));
    CHECK(hasHeader(headers, "Expect-Instance", "i-1"));
    CHECK(hasHeader(headers, "Tenant", "t1"));
    CHECK(hasHeader(headers, "Last-Event-Id", "14"));
    for (const auto *name : {"authorization", "Authorization", "Connection", "Content-Length"}) {
        CHECK_FALSE(hasHeaderNamed(headers, name));
    }
    CHECK(std::count_if(headers.begin(), headers.end(), [](const http_header &header) { return header.name == "Tenant"; }) == 1);
}

TEST_CASE("Malformed request headers are treated as absent")
{
    const platform_dialect dialect;
    CHECK_FALSE(dialect.readRequest({{"Deadline-Ms", "soon"}}).patience);
    CHECK_FALSE(dialect.readRequest({{"Deadline-Ms", "-5"}}).patience);
    CHECK(dialect.readRequest({{"Authorization", "Basic abc"}}).key.empty());
    CHECK(dialect.readRequest({{"Authorization", "Bearer"}}).key.empty());
}

TEST_CASE("A request counts as not run only if the replica's answer says so")
{
    const platform_dialect dialect;
    CHECK(dialect.readAnswer(421, {}).hasNotRun);
    CHECK(dialect.readAnswer(503, {{"Not-Executed", "1"}}).hasNotRun);
    CHECK_FALSE(dialect.readAnswer(503, {}).hasNotRun);
    const auto answer = dialect.readAnswer(200, {{"Attempt-Id", "9c41"}, {"Server-Stamp", "x"}});
    CHECK(answer.requestId == request_id("9c41"));
    CHECK(answer.hasServerStamp);
}

TEST_CASE(
    "The rate limit and the announcement that a replica is leaving are read from answers of every status, the backoff only from a 503")
{
    const platform_dialect dialect;
    for (const int status : {200, 421, 500, 503}) {
        const auto notice = dialect.readNotice(status, {{"server-limit", "2.4"}, {"Server-Leaving", "1"}, {"Retry-After", "3"}});
        CHECK(notice.rateLimit == 2.4);
        CHECK(notice.isLeaving);
        CHECK(notice.backoff == (status == 503 ? std::optional(duration(3000)) : std::nullopt));
    }
    CHECK(dialect.readNotice(200, {}).isEmpty());
    CHECK(dialect.readNotice(200, {}).isExhaustive);
    CHECK_FALSE(dialect.readNotice(421, {}).isExhaustive);
    const auto junk = dialect.readNotice(503, {{"Server-Limit", "much"}, {"Server-Leaving", "0"}, {"Retry-After", "soon"}});
    CHECK_FALSE(junk.rateLimit);
    CHECK_FALSE(junk.isLeaving);
    CHECK_FALSE(junk.isExhaustive);
    CHECK(junk.backoff == unreadableBackoff);
    CHECK(junk.unreadable == "much");
}

TEST_CASE("Orders and their answers are encoded and decoded in the engines' format")
{
    const platform_dialect dialect;
    replica_order order{order_kind::join,
                        instance_id("i-1"),
                        {"10.0.0.9", 8080},
                        group_id("g7"),
                        formation(12),
                        model_id("m1"),
                        {instance_id("i-1"), instance_id("i-2")},
                        {}};
    const auto join = bodyOf(dialect.orderCall(order));
    CHECK(join["Op"].asString() == "join");
    CHECK(join["group"].asString() == "g7");
    CHECK(join["epoch"].asUInt64() == 12);
    CHECK(join["Members"].size() == 2);
    CHECK(join["ExpectedRev"].asUInt64() == 0);
    order.kind = order_kind::close;
    order.method = close_method::cut;
    CHECK(bodyOf(dialect.orderCall(order))["Method"].asString() == "truncate");
    order.kind = order_kind::open;
    CHECK(bodyOf(dialect.orderCall(order))["Op"].asString() == "open");
    order.kind = order_kind::stage;
    CHECK(bodyOf(dialect.orderCall(order))["Model"].asString() == "m1");
    CHECK(hasHeader(dialect.orderCall(order).headers, "Expect-Instance", "i-1"));
    CHECK(dialect.readOrderAnswer(order, {202, {}, {}}).result == order_result::accepted);
    CHECK(dialect.readOrderAnswer(order, {200, {}, {}}).result == order_result::already_in_effect);
    CHECK(dialect.readOrderAnswer(order, {409, {}, {}}).result == order_result::conflict);
    CHECK(dialect.readOrderAnswer(order, {412, {}, {}}).result == order_result::refused);
    CHECK(dialect.readOrderAnswer(order, {421, {}, {}}).result == order_result::gone);
    CHECK(dialect.readOrderAnswer(order, {503, {}, {}}).result == order_result::unknown);
    order.kind = order_kind::probe;
    CHECK(dialect.orderCall(order).target == "/report");
    CHECK(hasHeader(dialect.orderCall(order).headers, "Expect-Instance", "i-1"));
    // Another replica now runs at the address of one that has terminated.
    CHECK(dialect.readOrderAnswer(order, {421, {}, {}}).result == order_result::gone);
    CHECK_FALSE(dialect.isLivenessAnswer({421, {}, {}}));
    CHECK(dialect.isLivenessAnswer({503, {}, {}}));
    const auto inGroup = dialect.readOrderAnswer(
        order, {200, {}, R"({"Phase":"combined","Seq":5,"group":{"Name":"g7","epoch":12,"rank":1,"State":"ready"}})"});
    CHECK(inGroup.membership == group_membership{group_id("g7"), formation(12), 1, member_state::ready});
    CHECK_FALSE(dialect.readOrderAnswer(order, {200, {}, R"({"Seq":5,"group":null})"}).membership);
    const auto report = dialect.readOrderAnswer(order, {200, {}, R"({"Phase":"combined","Seq":5})"});
    CHECK(report.result == order_result::accepted);
    CHECK(report.acceptedOrders == 5);
    CHECK(dialect.readOrderAnswer(order, {503, {}, {}}).result == order_result::unknown);
}

namespace {

/// Returns the entry of a replica with one field changed.
std::string entryWith(const char *name, const Json::Value &value)
{
    auto json = *parseJson(replicaText);
    json[name] = value;
    return toJsonText(json);
}

/// Returns the entry of a replica with one field removed.
std::string entryWithout(const char *name)
{
    auto json = *parseJson(replicaText);
    json.removeMember(name);
    return toJsonText(json);
}

/// Whether the entry is accepted; also checks that a rejection, and only a rejection, gives a reason.
bool isAcceptedEntry(const std::string &text, const std::string &id = "i-1")
{
    reason why;
    const auto replica = platform_dialect().readReplica(instance_id(id), text, why);
    CHECK(replica.has_value() == why.text.empty());
    return replica.has_value();
}

} // namespace

TEST_CASE("An entry that lacks a required field is rejected")
{
    for (const auto *name : {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Seq"}) {
        INFO(name);
        CHECK_FALSE(isAcceptedEntry(entryWithout(name)));
    }
    for (const auto *name : {"Models", "Staged", "group", "Domain"}) {
        INFO(name);
        CHECK(isAcceptedEntry(entryWithout(name)));
    }
}

TEST_CASE("An entry with a field of another type is rejected")
{
    CHECK(isAcceptedEntry(replicaText));
    const std::vector<Json::Value> otherValues = {Json::Value(true), Json::Value(-1), Json::Value(1.5), Json::Value(Json::objectValue)};
    for (const auto *name : {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Seq", "Models", "Staged", "born"}) {
        for (const auto &value : otherValues) {
            INFO(name << " " << toJsonText(value));
            CHECK_FALSE(isAcceptedEntry(entryWith(name, value)));
        }
    }
    CHECK_FALSE(isAcceptedEntry(entryWith("Slots", "26")));
    CHECK_FALSE(isAcceptedEntry(entryWith("Slots", Json::UInt64(1) << 40U)));
    CHECK_FALSE(isAcceptedEntry(entryWith("born", "1764720000000")));
    CHECK_FALSE(isAcceptedEntry(entryWith("State", "asleep")));
    CHECK_FALSE(isAcceptedEntry(entryWith("group", "g7")));
    CHECK_FALSE(isAcceptedEntry(entryWith("group", Json::Value(Json::arrayValue))));
    CHECK_FALSE(isAcceptedEntry("[]"));
    CHECK_FALSE(isAcceptedEntry("\xff\xfe bytes"));
}

TEST_CASE("An entry with an invalid group membership is rejected")
{
    const auto group = (*parseJson(replicaText))["group"];
    for (const auto &[name, value] : std::vector<std::pair<const char *, Json::Value>>{
             {"Name", 7}, {"epoch", "12"}, {"epoch", -1}, {"rank", "first"}, {"rank", -1}, {"State", "lost"}}) {
        auto changed = group;
        changed[name] = value;
        INFO(toJsonText(changed));
        CHECK_FALSE(isAcceptedEntry(entryWith("group", changed)));
    }
    CHECK(isAcceptedEntry(entryWith("group", Json::Value(Json::objectValue))));
}

TEST_CASE("A replica id that is not a valid header value is rejected")
{
    CHECK_FALSE(isAcceptedEntry(replicaText, ""));
    CHECK_FALSE(isAcceptedEntry(replicaText, "i-1\r\nTenant: other"));
    CHECK_FALSE(isAcceptedEntry(replicaText, "i\xc3\xa4"));
}

TEST_CASE("A replica's incarnation is read from its entry and its reports")
{
    const platform_dialect dialect;
    reason why;
    CHECK(dialect.readReplica(instance_id("i-1"), replicaText, why)->incarnation == replica_incarnation());
    const auto text = entryWith("born", Json::UInt64(1764720000123));
    CHECK(dialect.readReplica(instance_id("i-1"), text, why)->incarnation == replica_incarnation(1764720000123));
    replica_order probe;
    probe.kind = order_kind::probe;
    http_reply reply;
    reply.status = 200;
    reply.body = R"({"Seq":3,"born":1764720000123})";
    const auto answer = dialect.readOrderAnswer(probe, reply);
    CHECK(answer.acceptedOrders == 3);
    CHECK(answer.incarnation == replica_incarnation(1764720000123));
}

// Guards against a misread cold time, after which a replica would be sent too many requests, and against a rejection without its reason.
TEST_CASE("A replica's remaining cold time is read, and an invalid one rejects the entry with a reason that names it")
{
    reason why;
    const auto cold = platform_dialect().readReplica(instance_id("i-1"), entryWith("ColdLeftMs", 2500), why);
    REQUIRE(cold);
    CHECK(cold->coldLeft == duration(2500));
    const std::vector<Json::Value> invalid
        = {Json::Value(-1), Json::Value(Json::UInt64(1) << 40U), Json::Value("2500"), Json::Value(1e30), Json::Value()};
    for (const auto &value : invalid) {
        INFO(toJsonText(value));
        CHECK_FALSE(platform_dialect().readReplica(instance_id("i-1"), entryWith("ColdLeftMs", value), why));
        CHECK(why.text.find("ColdLeftMs") != std::string::npos);
    }
    why = {};
    CHECK_FALSE(platform_dialect().readReplica(instance_id("i-1"), entryWithout("ColdLeftMs"), why));
    CHECK(why.text.find("ColdLeftMs") != std::string::npos);
}

// Guards against a header of another replica, and against a copy of the header that is overlooked.
TEST_CASE("The remaining cold time of an answer is read from all its headers, but not from a misdirected request's answer")
{
    const platform_dialect dialect;
    CHECK(dialect.readColdNotice(200, {{"cold-ms", "1500"}, {"Cold-Ms", "2500"}}).left == duration(2500));
    CHECK_FALSE(dialect.readColdNotice(200, {{"cold-ms", "1500"}, {"Cold-Ms", "2500"}}).unreadable.empty());
    CHECK_FALSE(dialect.readColdNotice(421, {{"Cold-Ms", "1500"}}).left);
    CHECK_FALSE(dialect.readColdNotice(200, {{"Server-Limit", "3"}}).left);
}

// Guards against a service whose invalid cold rate would be taken for none.
TEST_CASE("A service's cold rate is read, and an invalid one rejects the configuration")
{
    const auto withRate = [](const std::string &rate) {
        auto text = configurationText;
        const std::string name = R"({"Name":"s2","HealthPath")";
        return text.replace(text.find(name), name.size(), R"({"Name":"s2","ColdStartS":3,"ColdPerS":)" + rate + R"(,"HealthPath")");
    };
    reason why;
    const auto configuration = platform_dialect().readConfiguration(withRate("23"), why);
    REQUIRE(configuration);
    CHECK(configuration->services[0].coldPerSecond == 0);
    CHECK(configuration->services[1].coldPerSecond == 23);
    CHECK(configuration->services[1].coldTime == duration(3000));
    for (const auto *invalid : {"-1", "1e300", "\"23\"", "[]", "true"}) {
        INFO(invalid);
        CHECK_FALSE(platform_dialect().readConfiguration(withRate(invalid), why));
        CHECK(why.text.find("ColdPerS") != std::string::npos);
    }
}
