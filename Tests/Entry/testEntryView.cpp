// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/entry_view.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const data_centre_id here("here");
const instant now(duration(100000));

backend place(const std::string &id, const std::string &dataCentre = "here")
{
    backend result;
    result.replica = instance_id(id);
    result.dataCentre = data_centre_id(dataCentre);
    result.load = std::make_shared<backend_load>();
    return result;
}

std::string chosen(const std::vector<backend> &candidates, const std::vector<instance_id> &tried = {})
{
    const auto *best = chooseBackend(candidates, tried, here, now, 0);
    return best == nullptr ? "" : best->replica.value();
}

std::shared_ptr<const route_table> tableOf(const served_service &service)
{
    served_configuration configuration;
    configuration.services.push_back(service);
    return std::make_shared<const route_table>(std::move(configuration));
}

} // namespace

TEST_CASE("The place with the fewest own requests is taken, the nearer of equals")
{
    const std::vector<backend> candidates = {place("far", "there"), place("near"), place("busy")};
    candidates[2].load->outstanding = 2;
    CHECK(chosen(candidates) == "near");
    candidates[1].load->outstanding = 1;
    CHECK(chosen(candidates) == "far");
}

TEST_CASE("A slow place gets its share only")
{
    const std::vector<backend> candidates = {place("slow"), place("quick")};
    candidates[0].load->answerTime = 500;
    candidates[1].load->answerTime = 100;
    candidates[1].load->outstanding = 3;
    CHECK(chosen(candidates) == "quick");
    candidates[1].load->outstanding = 6;
    CHECK(chosen(candidates) == "slow");
}

TEST_CASE("A place in trouble is passed over while there is another, and a tried one always")
{
    const std::vector<backend> candidates = {place("a"), place("b")};
    candidates[0].load->avoidedUntil = (now + duration(1)).time_since_epoch().count();
    candidates[1].load->outstanding = 20;
    CHECK(chosen(candidates) == "b");
    CHECK(chosen(candidates, {instance_id("b")}) == "a");
    CHECK(chosen(candidates, {instance_id("a"), instance_id("b")}).empty());
    CHECK(chosen({}).empty());
}

TEST_CASE("A draining replica of a plain service is left out, and a place keeps its record over views")
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
    const auto first = builder.build(table, directory, here);
    const auto &service = table->configuration().services.front();
    REQUIRE(first->backends(service, model_id()).size() == 2);
    first->backends(service, model_id()).front().load->answerTime = 42;
    directory.replicas[instance_id("b")].isDraining = true;
    const auto second = builder.build(table, directory, here);
    REQUIRE(second->backends(service, model_id()).size() == 1);
    CHECK(second->backends(service, model_id()).front().load->answerTime == 42);
}

TEST_CASE("A group that was formed anew starts with a clean record")
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
    const auto first = builder.build(table, directory, here);
    REQUIRE(first->backends(service, model_id("small")).size() == 1);
    first->backends(service, model_id("small")).front().load->answerTime = 900;
    directory.replicas[replica.id].membership->formed = formation(2);
    const auto second = builder.build(table, directory, here);
    CHECK(second->backends(service, model_id("small")).front().load->answerTime == 0);
    CHECK(second->backends(service, model_id("big")).empty());
}

TEST_CASE("A place where requests wait and nothing comes is passed over, and taken again once something comes")
{
    const instant now(duration(1000000));
    std::vector<backend> places(2);
    for (std::size_t i = 0; i < places.size(); ++i) {
        places[i].replica = instance_id("r" + std::to_string(i));
        places[i].load = std::make_shared<backend_load>();
    }
    auto &stuck = *places[0].load;
    stuck.outstanding = 1;
    places[1].load->outstanding = 5;
    places[1].load->lastProgress = now.time_since_epoch().count();
    stuck.lastProgress = (now - quietPause).time_since_epoch().count();
    CHECK(chooseBackend(places, {}, data_centre_id("z"), now, 0)->replica == instance_id("r0"));
    CHECK(chooseBackend(places, {}, data_centre_id("z"), now + duration(1), 0)->replica == instance_id("r1"));
    // Where it is the only place it is still taken.
    CHECK(chooseBackend(places, {instance_id("r1")}, data_centre_id("z"), now + duration(1), 0)->replica == instance_id("r0"));
    stuck.lastProgress = now.time_since_epoch().count();
    CHECK(chooseBackend(places, {}, data_centre_id("z"), now + duration(1), 0)->replica == instance_id("r0"));
}
