// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/entry_settings.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const std::string good = "daemon: d1\n"
                         "data-centre: ikeja\n"
                         "key-value: 10.0.0.1:8223\n"
                         "first-start: true\n"
                         "listen:\n"
                         "  callers: 10.0.0.2:8227\n"
                         "  readiness: 10.0.0.2:8220\n"
                         "  peers: 10.0.0.2:7340\n"
                         "timing:\n"
                         "  key-revocation-ms: 5000\n"
                         "retries:\n"
                         "  share: 0.2\n";

std::vector<std::string> problemsOf(const std::string &text)
{
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(text, "entry.yaml", problems);
    std::vector<std::string> result;
    result.reserve(problems.size());
    for (const auto &problem : problems) {
        result.push_back(problem.text());
    }
    CHECK(settings.has_value() == problems.empty());
    return result;
}

} // namespace

TEST_CASE("An entry daemon's settings are read, with defaults for what is left out")
{
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(good, "entry.yaml", problems);
    REQUIRE(settings);
    CHECK(settings->daemon == daemon_id("d1"));
    CHECK(settings->isFirstStart);
    CHECK(settings->callers.port == 8227);
    CHECK(settings->keyRevocation == duration(5000));
    CHECK(settings->isKeyRevocationStrict);
    CHECK(settings->stopGrace == duration(8000));
    CHECK(settings->retryShare == 0.2);
    CHECK(settings->isLogOn);
    CHECK_FALSE(settings->digest.empty());
    CHECK(readEntrySettings(good, "other.yaml", problems)->digest == settings->digest);
    CHECK(readEntrySettings(good + "connections: 500\n", "entry.yaml", problems)->digest != settings->digest);
}

TEST_CASE("Each wrong or unknown key of an entry daemon's settings is reported with its line")
{
    CHECK(problemsOf("daemon: d1\n").size() >= 4);
    const auto unknown = problemsOf(good + "nonsense: 1\n");
    REQUIRE(unknown.size() == 1);
    CHECK(unknown.front().find("entry.yaml:13: nonsense") != std::string::npos);
    CHECK(problemsOf(good + "connections: 1\n").size() == 1);
    CHECK(problemsOf("- a list\n").size() == 1);
    auto broken = good;
    broken.replace(broken.find("10.0.0.1:8223"), 13, "nowhere");
    CHECK(problemsOf(broken).size() == 1);
}

TEST_CASE("Figures that a platform works out may come as fractions, or not at all")
{
    auto text = good;
    text.replace(text.find("5000"), 4, "4999.5");
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(text + "  slack: 37.6\n", "entry.yaml", problems);
    REQUIRE(settings);
    CHECK(settings->keyRevocation == duration(4999));
    CHECK(settings->retrySlack == 37);
    // A gap in a template yields nothing where the platform has no value.
    const auto withGap = readEntrySettings(good + "  slack: \n", "entry.yaml", problems);
    REQUIRE(withGap);
    CHECK(withGap->retrySlack == 100);
    CHECK(problemsOf(good + "  slack: much\n").size() == 1);
    CHECK(problemsOf(good + "  slack: -0.5\n").size() == 1);
}

TEST_CASE("The bound on keys holds for daemons that are cut off unless the settings say otherwise")
{
    auto text = good;
    text.replace(text.find("5000"), 4, "5000\n  key-revocation-is-strict: false");
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(text, "entry.yaml", problems);
    REQUIRE(settings);
    CHECK_FALSE(settings->isKeyRevocationStrict);
    text.replace(text.find("false"), 5, "");
    const auto withGap = readEntrySettings(text, "entry.yaml", problems);
    REQUIRE(withGap);
    CHECK(withGap->isKeyRevocationStrict);
}

TEST_CASE("The log of decisions can be switched off")
{
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(good + "log: off\n", "entry.yaml", problems);
    REQUIRE(settings);
    CHECK_FALSE(settings->isLogOn);
    CHECK(problemsOf(good + "log: loud\n").size() == 1);
}
