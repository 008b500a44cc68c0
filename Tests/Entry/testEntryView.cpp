// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_view.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace vetchpost;

namespace {

const data_centre_id here("here");
const instant now(duration(100000));

backend replicaOf(const std::string &id, const std::string &dataCentre = "here")
{
    backend result;
    result.replica = instance_id(id);
    result.dataCentre = data_centre_id(dataCentre);
    result.load = std::make_shared<backend_load>();
    return result;
}

backend groupHead(const std::string &id)
{
    auto result = replicaOf(id);
    result.group = group_id("group of " + id);
    return result;
}

std::string chosen(const std::vector<backend> &candidates, const std::vector<instance_id> &tried = {}, std::uint64_t turn = 1)
{
    const auto *best = chooseBackend(candidates, tried, here, now, turn, 0);
    return best == nullptr ? "" : best->replica.value();
}

std::shared_ptr<const route_table> tableOf(const served_service &service)
{
    served_configuration configuration;
    configuration.services.push_back(service);
    return std::make_shared<const route_table>(std::move(configuration));
}

} // namespace

TEST_CASE("The replica with the fewest own requests is chosen, and of equals the nearer one")
{
    const std::vector<backend> candidates = {replicaOf("far", "there"), replicaOf("near"), replicaOf("busy")};
    candidates[2].load->outstanding = 2;
    CHECK(chosen(candidates) == "near");
    candidates[1].load->outstanding = 1;
    CHECK(chosen(candidates) == "far");
}

TEST_CASE("A slow replica is chosen only in proportion to its speed")
{
    const std::vector<backend> candidates = {replicaOf("slow"), replicaOf("quick")};
    candidates[0].load->responseTime = 500;
    candidates[1].load->responseTime = 100;
    candidates[1].load->outstanding = 3;
    CHECK(chosen(candidates) == "quick");
    candidates[1].load->outstanding = 6;
    CHECK(chosen(candidates) == "slow");
}

TEST_CASE("An avoided backend is chosen only if there is no other, and a tried one never")
{
    const std::vector<backend> candidates = {replicaOf("a"), replicaOf("b")};
    candidates[0].load->avoidedUntil = (now + duration(1)).time_since_epoch().count();
    candidates[1].load->outstanding = 20;
    CHECK(chosen(candidates) == "b");
    CHECK(chosen(candidates, {instance_id("b")}) == "a");
    CHECK(chosen(candidates, {instance_id("a"), instance_id("b")}).empty());
    CHECK(chosen({}).empty());
}

TEST_CASE("The group with the fewest own requests is chosen, and equals take turns")
{
    const std::vector<backend> candidates = {groupHead("a"), groupHead("b"), groupHead("busy")};
    candidates[2].load->outstanding = 2;
    std::map<std::string, int> counts;
    for (std::uint64_t turn = 10; turn <= 20; ++turn) {
        const auto id = chosen(candidates, {}, turn);
        CHECK(id != chosen(candidates, {instance_id("busy")}, ++turn));
        ++counts[id];
    }
    CHECK(counts["busy"] == 0);
    candidates[0].load->outstanding = 3;
    candidates[1].load->outstanding = 4;
    CHECK(chosen(candidates, {}, 30) == "busy");
}

TEST_CASE("If near groups are preferred, one is chosen until it holds two more requests than a far one; else all are equal")
{
    std::vector<backend> candidates = {groupHead("far"), groupHead("near")};
    candidates[0].dataCentre = data_centre_id("there");
    const auto take = [&](std::uint64_t turn, bool prefersNear) {
        return chooseBackend(candidates, {}, here, now, turn, 0, prefersNear)->replica.value();
    };
    candidates[1].load->outstanding = 1;
    CHECK(take(1, true) == "near");
    CHECK(take(2, false) == "far");
    candidates[1].load->outstanding = 2;
    CHECK(take(3, true) == "far");
}

TEST_CASE("Only a few of many daemons choose a new group first")
{
    constexpr int daemons = 80;
    constexpr int groupCount = 20;
    int first = 0;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        std::vector<backend> candidates;
        candidates.reserve(groupCount + 1);
        for (int i = 0; i < groupCount; ++i) {
            candidates.push_back(groupHead(std::to_string(i)));
        }
        std::uint64_t turn = 0;
        for (; turn < 100; ++turn) {
            chooseBackend(candidates, {}, here, now, turn + 1, static_cast<std::uint64_t>(daemon) * 7 + turn);
        }
        candidates.push_back(groupHead("new"));
        first += chooseBackend(candidates, {}, here, now, turn + 1, static_cast<std::uint64_t>(daemon) * 7 + turn)->replica
                == instance_id("new")
            ? 1
            : 0;
    }
    // Each backend has its turn once in 21 choices; a new one gets at most three times that share at once.
    CHECK(first <= 12);
}

TEST_CASE("An avoided group loses its turn and waits for its next one")
{
    const std::vector<backend> candidates = {groupHead("a"), groupHead("b"), groupHead("c")};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].load->lastTurn = i + 1;
    }
    avoid(*candidates[0].load, now);
    CHECK(chosen(candidates, {}, 10) == "b");
    candidates[0].load->avoidedUntil = 0;
    CHECK(chosen(candidates, {}, 11) == "c");
    CHECK(chosen(candidates, {}, 12) == "a");
}

TEST_CASE("A slow group costs more, and less so with the age of the measurement")
{
    const std::vector<backend> candidates = {groupHead("slow"), groupHead("quick"), groupHead("usual")};
    for (const auto &candidate : candidates) {
        candidate.load->responseTime = 100;
        candidate.load->responseTimeAt = now.time_since_epoch().count();
        candidate.load->outstanding = 3;
    }
    candidates[0].load->responseTime = 500;
    candidates[0].load->outstanding = 0;
    CHECK(chosen(candidates, {}, 10) != "slow");
    candidates[0].load->responseTimeAt -= duration(6000).count();
    CHECK(chosen(candidates, {}, 11) == "slow");
}

TEST_CASE("A draining replica of a plain service is left out, and a backend keeps its load in the next view")
{
    const auto table = tableOf({service_id("portal"), "/healthz", 10, {}});
    replica_directory directory;
    for (const auto *id : {"a", "b"}) {
        served_replica replica;
        replica.id = instance_id(id);
        replica.service = service_id("portal");
        directory.replicas[replica.id] = replica;
    }
    entry_view_builder builder;
    const auto first = builder.build(table, directory, true, here);
    const auto &service = table->configuration().services.front();
    REQUIRE(first->backends(service, model_id()).size() == 2);
    first->backends(service, model_id()).front().load->responseTime = 42;
    directory.replicas[instance_id("b")].isDraining = true;
    const auto second = builder.build(table, directory, true, here);
    REQUIRE(second->backends(service, model_id()).size() == 1);
    CHECK(second->backends(service, model_id()).front().load->responseTime == 42);
}

TEST_CASE("A newly formed group starts with a new load")
{
    served_service service{service_id("large"), "/healthz", 10, engine_description()};
    service.engine->models = {{model_id("small"), 1, 1, 1, {}, {}}};
    const auto table = tableOf(service);
    replica_directory directory;
    served_replica replica;
    replica.id = instance_id("head");
    replica.service = service.id;
    replica.model = model_id("small");
    replica.membership = {group_id("g"), formation(1), 0, member_state::open};
    directory.replicas[replica.id] = replica;
    entry_view_builder builder;
    const auto first = builder.build(table, directory, true, here);
    REQUIRE(first->backends(service, model_id("small")).size() == 1);
    first->backends(service, model_id("small")).front().load->responseTime = 900;
    directory.replicas[replica.id].membership->formed = formation(2);
    const auto second = builder.build(table, directory, true, here);
    CHECK(second->backends(service, model_id("small")).front().load->responseTime == 0);
    CHECK(second->backends(service, model_id("big")).empty());
}

TEST_CASE("A backend with outstanding requests that sends nothing is avoided until it sends something")
{
    const instant now(duration(1000000));
    std::vector<backend> targets(2);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        targets[i].replica = instance_id("r" + std::to_string(i));
        targets[i].load = std::make_shared<backend_load>();
    }
    auto &stuck = *targets[0].load;
    stuck.outstanding = 1;
    targets[1].load->outstanding = 5;
    targets[1].load->lastProgress = now.time_since_epoch().count();
    stuck.lastProgress = (now - quietTimeout).time_since_epoch().count();
    CHECK(chooseBackend(targets, {}, data_centre_id("z"), now, 1, 0)->replica == instance_id("r0"));
    CHECK(chooseBackend(targets, {}, data_centre_id("z"), now + duration(1), 1, 0)->replica == instance_id("r1"));
    // As the only remaining backend it is still chosen.
    CHECK(chooseBackend(targets, {instance_id("r1")}, data_centre_id("z"), now + duration(1), 1, 0)->replica == instance_id("r0"));
    stuck.lastProgress = now.time_since_epoch().count();
    CHECK(chooseBackend(targets, {}, data_centre_id("z"), now + duration(1), 1, 0)->replica == instance_id("r0"));
}

TEST_CASE("A group that rejects requests is tried now and then, and as usual once it admits one")
{
    std::vector<backend> candidates = {groupHead("rejects"), groupHead("busy"), groupHead("busier")};
    candidates[1].load->outstanding = 3;
    candidates[2].load->outstanding = 4;
    int asked = 0;
    std::uint64_t turn = 10;
    const auto play = [&](instant from, bool rejects) {
        for (auto at = from; at < from + duration(3000); at += duration(10)) {
            const auto *best = chooseBackend(candidates, {}, here, at, ++turn, 0);
            if (best->replica != instance_id("rejects")) {
                continue;
            }
            ++asked;
            rejects ? recordRejection(*best->load, at) : recordAdmission(*best->load);
        }
    };
    play(now, true);
    CHECK(asked >= 2);
    CHECK(asked <= 5);
    asked = 0;
    play(now + duration(3000), false);
    CHECK(asked > 100);
}

TEST_CASE("No replica and no group in an evacuated data centre is a backend, and none at all before the evacuations are known")
{
    served_service plain{service_id("plain")};
    served_service large{service_id("large")};
    large.engine.emplace();
    large.engine->models = {{model_id("m"), 1, 1.0, 1.0, duration(), duration()}};
    served_configuration configuration;
    configuration.services = {plain, large};
    const auto routes = std::make_shared<const route_table>(std::move(configuration));
    replica_directory directory;
    for (const auto *place : {"y", "z"}) {
        served_replica replica;
        replica.id = instance_id(std::string("r-") + place);
        replica.service = plain.id;
        replica.dataCentre = data_centre_id(place);
        directory.replicas.emplace(replica.id, replica);
        replica.id = instance_id(std::string("h-") + place);
        replica.service = large.id;
        replica.model = model_id("m");
        replica.membership = {group_id(std::string("g-") + place), formation(1), 0, member_state::open};
        directory.replicas.emplace(replica.id, replica);
    }
    entry_view_builder builder;
    const auto countIn = [&](const std::optional<std::set<data_centre_id>> &evacuated) {
        const auto view = builder.build(routes, directory, true, here, evacuated);
        return std::pair(view->backends(plain, {}).size(), view->backends(large, model_id("m")).size());
    };
    CHECK(countIn(std::set<data_centre_id>()) == std::pair<std::size_t, std::size_t>(2, 2));
    CHECK(countIn(std::set{data_centre_id("z")}) == std::pair<std::size_t, std::size_t>(1, 1));
    CHECK(countIn(std::set{data_centre_id("z"), data_centre_id("y")}) == std::pair<std::size_t, std::size_t>(0, 0));
    CHECK(countIn(std::set{data_centre_id("nowhere")}) == std::pair<std::size_t, std::size_t>(2, 2));
    CHECK(countIn(std::nullopt) == std::pair<std::size_t, std::size_t>(0, 0));
    CHECK_FALSE(builder.build(routes, directory, true, here, std::nullopt)->isListed);
    CHECK(builder.build(routes, directory, true, here, std::set{data_centre_id("z")})->isListed);
}
