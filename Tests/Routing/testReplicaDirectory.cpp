// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/replica_directory.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const service_id service("large");

void add(replica_directory &directory, const std::string &id, const group_membership &membership)
{
    served_replica replica;
    replica.id = instance_id(id);
    replica.service = service;
    replica.model = model_id("big");
    replica.membership = membership;
    directory.replicas[replica.id] = replica;
}

replica_directory openGroup()
{
    replica_directory directory;
    add(directory, "head", {group_id("g"), formation(3), 0, member_state::open});
    add(directory, "second", {group_id("g"), formation(3), 1, member_state::ready});
    return directory;
}

} // namespace

TEST_CASE("A group with an open head and all its members accepts requests")
{
    const auto directory = openGroup();
    const auto groups = groupsOf(directory, service);
    REQUIRE(groups.size() == 1);
    CHECK(groups.front().model == model_id("big"));
    CHECK(acceptsRequests(groups.front(), 2));
    CHECK_FALSE(acceptsRequests(groups.front(), 4));
}

TEST_CASE("A group accepts no requests once a member is gone, its head is leaving, or a member is in another formation")
{
    auto gone = openGroup();
    gone.replicas.erase(instance_id("second"));
    CHECK_FALSE(acceptsRequests(groupsOf(gone, service).front(), 2));

    auto leaving = openGroup();
    leaving.replicas[instance_id("second")].isDraining = true;
    // A leaving member stays while the head has work; a leaving head must get no new requests.
    CHECK(acceptsRequests(groupsOf(leaving, service).front(), 2));
    leaving.replicas[instance_id("head")].isDraining = true;
    CHECK_FALSE(acceptsRequests(groupsOf(leaving, service).front(), 2));

    auto elsewhere = openGroup();
    elsewhere.replicas[instance_id("second")].membership->formed = formation(4);
    const auto groups = groupsOf(elsewhere, service);
    REQUIRE(groups.size() == 1);
    CHECK(groups.front().formed == formation(4));
    CHECK_FALSE(acceptsRequests(groups.front(), 2));
}

TEST_CASE("A group accepts no requests if its head is not open or its rank is invalid")
{
    for (const auto state : {member_state::joining, member_state::ready, member_state::closing, member_state::broken}) {
        auto directory = openGroup();
        directory.replicas[instance_id("head")].membership->state = state;
        CHECK_FALSE(acceptsRequests(groupsOf(directory, service).front(), 2));
    }
    replica_directory directory;
    add(directory, "odd", {group_id("g"), formation(1), -1, member_state::open});
    add(directory, "huge", {group_id("h"), formation(1), 1 << 30, member_state::open});
    CHECK(groupsOf(directory, service).empty());
    CHECK(groupsOf(openGroup(), service_id("other")).empty());
}
