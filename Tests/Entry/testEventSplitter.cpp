// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/event_splitter.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const std::string stream = "versions: 1\nid: 1\ndata: a\n\nid:2\r\ndata: id: 9\r\n\r\nid: 3\ndata: c\n\n";

} // namespace

TEST_CASE("Only complete events are extracted, unchanged, however the bytes are split")
{
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        event_splitter splitter;
        std::string events;
        int count = 0;
        for (std::size_t i = 0; i < stream.size(); i += size) {
            count += splitter.extractEvents(std::string_view(stream).substr(i, size), events);
        }
        CHECK(events == stream);
        CHECK(count == 3);
        CHECK(splitter.lastId() == "3");
        CHECK_FALSE(splitter.hasPartial());
    }
}

TEST_CASE("An incomplete event is buffered, and the id of the last complete one is kept for resuming the stream")
{
    event_splitter splitter;
    std::string events;
    splitter.extractEvents("id: 7\ndata: x\n\nid: 8\ndata: y", events);
    CHECK(events == "id: 7\ndata: x\n\n");
    CHECK(splitter.lastId() == "7");
    CHECK(splitter.hasPartial());
    splitter.discardPartial();
    splitter.extractEvents("id: 8\ndata: z\n\n", events);
    CHECK(events == "id: 7\ndata: x\n\nid: 8\ndata: z\n\n");
    CHECK(splitter.lastId() == "8");
}
