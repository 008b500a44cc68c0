// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/route_table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace vetchpost;

namespace {

route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

route_table makeTable()
{
    served_configuration configuration;
    configuration.routes = {makeRoute("short", "a.example", "/x/"),
                            makeRoute("long", "a.example", "/x/y/"),
                            makeRoute("other", "B.example", "/x/"),
                            makeRoute("root", "c.example", "/")};
    configuration.organisations = {{organisation_id("one"), {"key-1", "key-2"}, 1}, {organisation_id("two"), {"key-3"}, {}}};
    configuration.services.push_back({service_id("portal"), "/healthz", 10, {}});
    return route_table(std::move(configuration));
}

std::string routeName(const route_table &table, const std::string &host, const std::string &path)
{
    const auto *found = table.findRoute(host, path);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_CASE("The host's route with the longest matching prefix is chosen")
{
    const auto table = makeTable();
    CHECK(routeName(table, "a.example", "/x/y/z") == "long");
    CHECK(routeName(table, "a.example", "/x/yy") == "short");
    CHECK(routeName(table, "a.example", "/x") == "");
    CHECK(routeName(table, "a.example", "/") == "");
    CHECK(routeName(table, "d.example", "/x/") == "");
    CHECK(routeName(table, "c.example", "/anything") == "root");
}

TEST_CASE("Hosts are compared case-insensitively and without a port")
{
    const auto table = makeTable();
    CHECK(routeName(table, "A.EXAMPLE:8080", "/x/1") == "short");
    CHECK(routeName(table, "b.example", "/x/1") == "other");
}

TEST_CASE("A known key yields its organisation, an unknown one nullptr")
{
    const auto table = makeTable();
    REQUIRE(table.findOrganisation("key-2") != nullptr);
    CHECK(table.findOrganisation("key-2")->id == organisation_id("one"));
    CHECK(table.findOrganisation("key-3")->id == organisation_id("two"));
    CHECK(table.findOrganisation("key-4") == nullptr);
    CHECK(table.findOrganisation("") == nullptr);
    CHECK(table.findService(service_id("portal")) != nullptr);
    CHECK(table.findService(service_id("nothing")) == nullptr);
}

TEST_CASE("A route's requests are distributed over its services by their weights")
{
    route split;
    split.services = {{service_id("a"), 90}, {service_id("b"), 10}, {service_id("c"), 0}};
    std::map<std::string, int> counts;
    for (std::uint64_t randomValue = 0; randomValue < 1000; ++randomValue) {
        ++counts[chooseService(split, randomValue)->value()];
    }
    CHECK(counts["a"] == 900);
    CHECK(counts["b"] == 100);
    CHECK(counts["c"] == 0);
    split.services = {{service_id("a"), 0}, {service_id("b"), -5}};
    CHECK(chooseService(split, 7) == nullptr);
}
