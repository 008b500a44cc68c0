// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/request_id_batch.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("A request that is still in flight is listed as arrived, once")
{
    request_id_batch batch;
    batch.addArrival("r1");
    batch.addArrival("r2");
    CHECK(batch.drain().arrived == "r1 r2");
    CHECK(batch.drain().isEmpty());
}

TEST_CASE("A request that was served before the batch is listed only as served; one that was served later is in both batches")
{
    request_id_batch batch;
    batch.addArrival("r1");
    batch.addArrival("r2");
    batch.addServed("r1");
    const auto first = batch.drain();
    CHECK(first.arrived == "r2");
    CHECK(first.served == "r1");
    batch.addServed("r2");
    const auto second = batch.drain();
    CHECK(second.arrived.empty());
    CHECK(second.served == "r2");
}

TEST_CASE("A request that has log lines of its own is not listed, nor is one without an id")
{
    request_id_batch batch;
    batch.addArrival("r1");
    batch.removeArrival("r1");
    batch.addArrival("");
    batch.addServed("");
    CHECK(batch.drain().isEmpty());
}

TEST_CASE("A batch is bounded whatever clients send, and counts the ids that it omits")
{
    request_id_batch batch;
    for (int i = 0; i < 1000; ++i) {
        batch.addArrival(std::string(5000, 'x'));
    }
    const auto lists = batch.drain();
    CHECK(lists.arrived.size() < 20000);
    CHECK(lists.leftOut == 1000 - 256);
    CHECK(batch.drain().isEmpty());
}
