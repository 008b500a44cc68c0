// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/daemon_settings.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace vetchpost;

namespace {

constexpr auto validSettings = R"(daemon: ikeja-1
data-centre: ikeja
listen:
  callers: 127.0.0.1:8100
  operators: 127.0.0.1:8101
  peers: 127.0.0.1:8102
platform:
  key-value: 127.0.0.1:8000
  instance-list: 127.0.0.1:8001
  weight-store: 127.0.0.1:8002
operator-token-variable: TEST_TOKEN
peer-token-variable: TEST_TOKEN
)";

std::vector<std::string> problemsOf(const std::string &text)
{
    setenv("TEST_TOKEN", "long enough", 1);
    std::vector<yaml_problem> problems;
    const auto settings = readDaemonSettings(text, "d.yaml", problems);
    CHECK(settings.has_value() == problems.empty());
    std::vector<std::string> texts;
    texts.reserve(problems.size());
    for (const auto &problem : problems) {
        texts.push_back(problem.text());
    }
    return texts;
}

std::string replaceText(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

TEST_CASE("Valid settings have no problems")
{
    CHECK(problemsOf(validSettings).empty());
}

TEST_CASE("Every problem is reported with its file, line, key and the expected value")
{
    CHECK(problemsOf(replaceText("callers: 127.0.0.1:8100", "callers: everywhere"))
          == std::vector<std::string>{"d.yaml:4: listen.callers: expected an IP number and a port, as in 127.0.0.1:8100"});
    CHECK(problemsOf(replaceText("daemon: ikeja-1\n", "")).front().find("daemon: expected a text; the key is required")
          != std::string::npos);
    const auto unknown = problemsOf(replaceText("  peers: 127.0.0.1:8102\n", "  peers: 127.0.0.1:8102\n  poers: 1\n"));
    REQUIRE(unknown.size() == 1);
    CHECK(unknown.front().find("d.yaml:7: listen.poers: expected no such key here") == 0);
    CHECK(problemsOf(std::string(validSettings) + "limits: {streams: 0}\n")
          == std::vector<std::string>{"d.yaml:13: limits.streams: expected a whole number from 1 to 20000"});
    CHECK(problemsOf(std::string(validSettings) + "limits: [1]\n") == std::vector<std::string>{"d.yaml:13: limits: expected a mapping"});
    CHECK(problemsOf(replaceText("operator-token-variable: TEST_TOKEN", "operator-token-variable: NOT_SET_ANYWHERE")).size() == 1);
}

TEST_CASE("A lease that is too short for an order is rejected")
{
    CHECK(problemsOf(std::string(validSettings) + "timing: {lease-ms: 3000}\n")
          == std::vector<std::string>{"d.yaml:13: timing.lease-ms: expected at least three times the order-timeout-ms plus a second"});
    CHECK(problemsOf(std::string(validSettings) + "timing: {lease-ms: 4500, order-timeout-ms: 500}\n").empty());
}

TEST_CASE("All problems of a file are reported together")
{
    CHECK(problemsOf("daemon: a\n").size() >= 8);
}

TEST_CASE("Texts that are not YAML, or whose root is not a mapping, are rejected")
{
    CHECK(problemsOf("").size() == 1);
    CHECK(problemsOf("[1, 2]").size() == 1);
    CHECK(problemsOf("a: [").size() == 1);
    CHECK(problemsOf("a: &x [*x").size() == 1);
}
