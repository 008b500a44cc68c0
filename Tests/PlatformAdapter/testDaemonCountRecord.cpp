// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_count_record.h"
#include "Tests/PlatformAdapter/sharedStore.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A new coordinator finds the number of daemons that its predecessor recorded")
{
    shared_store values;
    store_link link;
    linked_store service(values, link);
    daemon_count_record first(service);
    CHECK(first.read() == 0);
    first.write(8);
    daemon_count_record second(service);
    CHECK(second.read() == 8);
    second.write(3);
    CHECK(daemon_count_record(service).read() == 3);
    // The first coordinator's term has ended, but a write of its may still be under way.
    first.write(9);
    CHECK(daemon_count_record(service).read() == 3);
}

TEST_CASE("The number of daemons is unknown while the key-value service does not answer, and written once it does")
{
    shared_store values;
    store_link link;
    linked_store service(values, link);
    daemon_count_record record(service);
    link.isUp = false;
    CHECK_FALSE(record.read());
    record.write(8);
    link.isUp = true;
    CHECK(record.read() == 0);
    record.write(8);
    CHECK(daemon_count_record(service).read() == 8);
}

TEST_CASE("A record of another writer that is no number of daemons counts as none, and is replaced")
{
    shared_store values;
    store_link link;
    linked_store service(values, link);
    for (const std::string odd : {"", "-4", "0", "8 ", "8x", "1e3", "99999999999999999999", "100001", "[8]"}) {
        CAPTURE(odd);
        CHECK_FALSE(parseDaemonCount(odd));
        values.write("vetchpost/daemons", odd);
        daemon_count_record record(service);
        CHECK(record.read() == 0);
        record.write(7);
        CHECK(daemon_count_record(service).read() == 7);
    }
}
