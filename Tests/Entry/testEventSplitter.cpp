// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/event_splitter.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const std::string stream = "versions: 1\nid: 1\ndata: a\n\nid:2\r\ndata: id: 9\r\n\r\nid: 3\ndata: c\n\n";

} // namespace

TEST_CASE("Only whole events are passed on, unchanged, however the bytes come")
{
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        event_splitter splitter;
        std::string passed;
        int count = 0;
        for (std::size_t i = 0; i < stream.size(); i += size) {
            count += splitter.take(std::string_view(stream).substr(i, size), passed);
        }
        CHECK(passed == stream);
        CHECK(count == 3);
        CHECK(splitter.lastId() == "3");
        CHECK_FALSE(splitter.hasPartial());
    }
}

TEST_CASE("An unfinished event is held back, and the last whole one's number is kept for going on elsewhere")
{
    event_splitter splitter;
    std::string passed;
    splitter.take("id: 7\ndata: x\n\nid: 8\ndata: y", passed);
    CHECK(passed == "id: 7\ndata: x\n\n");
    CHECK(splitter.lastId() == "7");
    CHECK(splitter.hasPartial());
    splitter.dropPartial();
    splitter.take("id: 8\ndata: z\n\n", passed);
    CHECK(passed == "id: 7\ndata: x\n\nid: 8\ndata: z\n\n");
    CHECK(splitter.lastId() == "8");
}
