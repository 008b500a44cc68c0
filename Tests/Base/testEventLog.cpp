// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Base/json.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <iostream>
#include <map>
#include <sstream>

using namespace vetchpost;

namespace {

constexpr event_log testLog("test");

/// Redirects standard output to a pipe while it exists.
class captured_output
{
public:
    captured_output()
    {
        std::cout.flush();
        m_saved = dup(STDOUT_FILENO);
        REQUIRE(pipe(m_ends.data()) == 0);
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        dup2(m_ends[1], STDOUT_FILENO);
    }

    ~captured_output()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        close(m_ends[0]);
        close(m_ends[1]);
    }

    captured_output(const captured_output &) = delete;
    captured_output &operator=(const captured_output &) = delete;

    std::string read() const
    {
        std::string text;
        std::array<char, 4096> bytes{};
        for (;;) {
            const auto count = ::read(m_ends[0], bytes.data(), bytes.size());
            if (count <= 0) {
                return text;
            }
            text.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }

private:
    int m_saved = -1;
    std::array<int, 2> m_ends{};
};

} // namespace

TEST_CASE("Each event is one JSON object on one line, whatever its values contain")
{
    std::string text;
    {
        const captured_output output;
        setEventLogDaemon("d1");
        startEventLog();
        testLog.write("happened",
                      {{"quoted", "a \"b\"\nc"}, {"number", 42}, {"flag", true}, {"share", 0.5}, {"odd", std::string("\x01\x7f")}});
        testLog.write("again", {});
        stopEventLog();
        text = output.read();
    }
    std::istringstream lines(text);
    std::string line;
    REQUIRE(std::getline(lines, line));
    const auto json = parseJson(line);
    REQUIRE(json);
    CHECK((*json)["event"].asString() == "happened");
    CHECK((*json)["daemon"].asString() == "d1");
    CHECK((*json)["quoted"].asString() == "a \"b\"\nc");
    CHECK((*json)["number"].asInt() == 42);
    CHECK((*json)["flag"].asBool());
    REQUIRE(std::getline(lines, line));
    CHECK((*parseJson(line))["event"].asString() == "again");
    CHECK_FALSE(std::getline(lines, line));
}

TEST_CASE("A reader that reads nothing does not block the log, and dropped lines are counted")
{
    const auto before = droppedLogLines();
    duration longest{};
    {
        const captured_output output;
        startEventLog();
        const std::string text(1000, 'x');
        for (int i = 0; i < 2000; ++i) {
            const auto started = monotonicNow();
            testLog.write("much", {{"text", text}});
            longest = std::max(longest, monotonicNow() - started);
        }
        stopEventLog();
    }
    CHECK(droppedLogLines() > before + 1000);
    CHECK(longest < duration(200));
}

TEST_CASE("Lines beyond the rate limit of a part are dropped and reported; essential lines and the lines of other parts are all written")
{
    constexpr event_log loud("loud");
    constexpr event_log quiet("quiet");
    std::string text;
    {
        const captured_output output;
        startEventLog();
        for (int i = 0; i < 1000; ++i) {
            loud.write("often", {});
        }
        for (int i = 0; i < 50; ++i) {
            loud.writeEssential("badly", {});
        }
        quiet.write("once", {});
        stopEventLog();
        text = output.read();
    }
    std::map<std::string, int> counts;
    std::istringstream lines(text);
    int reported = 0;
    for (std::string line; std::getline(lines, line);) {
        const auto json = parseJson(line);
        REQUIRE(json);
        ++counts[(*json)["event"].asString()];
        if ((*json)["event"].asString() == "lines_left_out") {
            CHECK((*json)["of"].asString() == "loud");
            CHECK((*json)["ms"].asInt64() > 0);
            reported += (*json)["count"].asInt();
        }
    }
    CHECK(counts["badly"] == 50);
    CHECK(counts["once"] == 1);
    CHECK(counts["often"] < 600);
    CHECK(counts["often"] + reported == 1000);
    CHECK(droppedLogLinesByPart().at("loud") == static_cast<std::uint64_t>(reported));
    CHECK(droppedLogLinesByPart().at("quiet") == 0);
}

TEST_CASE("The function for collected events is called before the log stops")
{
    std::string text;
    {
        const captured_output output;
        startEventLog([] { testLog.write("gathered", {}); });
        stopEventLog();
        text = output.read();
    }
    CHECK(text.find("\"gathered\"") != std::string::npos);
}

TEST_CASE("A log that is off writes nothing")
{
    std::string text;
    {
        const captured_output output;
        setEventLogOn(false);
        startEventLog();
        testLog.write("happened", {});
        testLog.writeEssential("happened", {});
        stopEventLog();
        setEventLogOn(true);
        text = output.read();
    }
    CHECK(text.empty());
}
