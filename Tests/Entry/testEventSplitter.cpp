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

// Guards against a replica whose bytes are no events, which would be kept without end.
TEST_CASE("A stream whose bytes complete no event, or no event with an id, is overlong at last")
{
    std::string events;
    event_splitter partial;
    CHECK(partial.extractEvents(std::string(maximumEventSize, 'x'), events) == 0);
    CHECK_FALSE(partial.isOverlong());
    partial.extractEvents("x", events);
    CHECK(partial.isOverlong());
    partial.discardPartial();
    CHECK_FALSE(partial.isOverlong());

    event_splitter blank;
    blank.extractEvents("id: 1\ndata: a\n\n", events);
    blank.extractEvents(std::string(maximumEventSize, '\n'), events);
    CHECK_FALSE(blank.isOverlong());
    blank.extractEvents("id: 2\n\n", events);
    blank.extractEvents(std::string(maximumEventSize, '\n'), events);
    CHECK_FALSE(blank.isOverlong());
    blank.extractEvents("\n", events);
    CHECK(blank.isOverlong());
}

TEST_CASE("Events are found however the stream is cut")
{
    const std::string stream = "id: 1\ndata: a\n\n\r\n:\n\nid: 2\r\ndata: b\r\n\r\n";
    std::string whole;
    event_splitter once;
    const auto count = once.extractEvents(stream, whole);
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); ++second) {
            std::string events;
            event_splitter splitter;
            auto found = splitter.extractEvents(stream.substr(0, first), events);
            found += splitter.extractEvents(stream.substr(first, second - first), events);
            found += splitter.extractEvents(stream.substr(second), events);
            REQUIRE(found == count);
            REQUIRE(events == whole);
        }
    }
    CHECK(once.lastId() == "2");
}
