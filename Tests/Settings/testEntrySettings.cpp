// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/entry_settings.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const std::string validSettings = "daemon: d1\n"
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
    const auto settings = readEntrySettings(validSettings, "entry.yaml", problems);
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
    CHECK(readEntrySettings(validSettings, "other.yaml", problems)->digest == settings->digest);
    CHECK(readEntrySettings(validSettings + "connections: 500\n", "entry.yaml", problems)->digest != settings->digest);
    CHECK(bodyMemoryLimit(*settings) == 40U << 20U);
    CHECK(bodyMemoryLimit(*readEntrySettings(validSettings + "memory-mb: 512\n", "entry.yaml", problems)) == 128U << 20U);
}

TEST_CASE("A daemon announces the address that it listens on to the others, unless the settings name another one")
{
    std::vector<yaml_problem> problems;
    auto text = validSettings;
    CHECK(announcedPeers(*readEntrySettings(text, "entry.yaml", problems)).text() == "10.0.0.2:7340");
    text.insert(text.find("timing:"), "  peers-announced: 192.0.2.7:17340\n");
    const auto settings = readEntrySettings(text, "entry.yaml", problems);
    REQUIRE(settings);
    CHECK(settings->peers.text() == "10.0.0.2:7340");
    CHECK(announcedPeers(*settings).text() == "192.0.2.7:17340");
    text.replace(text.find("192.0.2.7:17340"), 15, "nowhere");
    CHECK(problemsOf(text).size() == 1);
}

TEST_CASE("Each wrong or unknown key of an entry daemon's settings is reported with its line")
{
    CHECK(problemsOf("daemon: d1\n").size() >= 4);
    const auto unknown = problemsOf(validSettings + "nonsense: 1\n");
    REQUIRE(unknown.size() == 1);
    CHECK(unknown.front().find("entry.yaml:13: nonsense") != std::string::npos);
    CHECK(problemsOf(validSettings + "connections: 1\n").size() == 1);
    CHECK(problemsOf(validSettings + "memory-mb: 0\n").size() == 1);
    CHECK(problemsOf("- a list\n").size() == 1);
    auto broken = validSettings;
    broken.replace(broken.find("10.0.0.1:8223"), 13, "nowhere");
    CHECK(problemsOf(broken).size() == 1);
}

TEST_CASE("Values that a platform calculates may be fractions, or missing")
{
    auto text = validSettings;
    text.replace(text.find("5000"), 4, "4999.5");
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(text + "  slack: 37.6\n", "entry.yaml", problems);
    REQUIRE(settings);
    CHECK(settings->keyRevocation == duration(4999));
    CHECK(settings->retrySlack == 37);
    const auto inSeconds = readEntrySettings(validSettings + "  window-s: 2.5\n", "entry.yaml", problems);
    REQUIRE(inSeconds);
    CHECK(inSeconds->retryWindow == duration(2500));
    const auto withoutSeconds = readEntrySettings(validSettings + "  window-s: \n  window-ms: 7000\n", "entry.yaml", problems);
    REQUIRE(withoutSeconds);
    CHECK(withoutSeconds->retryWindow == duration(7000));
    // A template leaves the value empty if the platform has none.
    const auto withEmptyValue = readEntrySettings(validSettings + "  slack: \n", "entry.yaml", problems);
    REQUIRE(withEmptyValue);
    CHECK(withEmptyValue->retrySlack == 100);
    CHECK(problemsOf(validSettings + "  slack: much\n").size() == 1);
    CHECK(problemsOf(validSettings + "  slack: -0.5\n").size() == 1);
}

TEST_CASE("The bound on key revocation applies to daemons that are cut off unless the settings say otherwise")
{
    auto text = validSettings;
    text.replace(text.find("5000"), 4, "5000\n  key-revocation-is-strict: false");
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(text, "entry.yaml", problems);
    REQUIRE(settings);
    CHECK_FALSE(settings->isKeyRevocationStrict);
    text.replace(text.find("false"), 5, "");
    const auto withEmptyValue = readEntrySettings(text, "entry.yaml", problems);
    REQUIRE(withEmptyValue);
    CHECK(withEmptyValue->isKeyRevocationStrict);
}

TEST_CASE("The decision log can be switched off")
{
    std::vector<yaml_problem> problems;
    const auto settings = readEntrySettings(validSettings + "log: off\n", "entry.yaml", problems);
    REQUIRE(settings);
    CHECK_FALSE(settings->isLogOn);
    CHECK(problemsOf(validSettings + "log: loud\n").size() == 1);
}

TEST_CASE("Slot dispatch has a switch, an address, contracts and a processor share, all of which may be missing")
{
    std::vector<yaml_problem> problems;
    const auto without = readEntrySettings(validSettings + "contracts: \nprocessor-share: \ndispatch: \n", "entry.yaml", problems);
    REQUIRE(without);
    CHECK_FALSE(without->dispatch);
    CHECK_FALSE(without->dispatchSwitch);
    CHECK(without->contracts.empty());
    CHECK(without->processorShare == 1);

    auto text = validSettings;
    text.replace(text.find("timing:"), 0, "  dispatch: 10.0.0.2:7341\n");
    const auto filled
        = readEntrySettings(text + "contracts: [\"pressure\",\"other\"]\nprocessor-share: 0.12\ndispatch: on\n", "entry.yaml", problems);
    REQUIRE(filled);
    CHECK(filled->dispatch->port == 7341);
    CHECK(filled->dispatchSwitch == true);
    CHECK(filled->contracts == std::vector<std::string>{"pressure", "other"});
    CHECK(filled->processorShare == 0.12);

    CHECK(problemsOf(validSettings + "dispatch: on\n").size() == 1);
    CHECK(problemsOf(validSettings + "dispatch: perhaps\n").size() == 1);
    CHECK(problemsOf(validSettings + "contracts: 7\n").size() == 1);
    CHECK(problemsOf(validSettings + "processor-share: 0\n").size() == 1);
    text.replace(text.find("10.0.0.2:7341"), 13, "nowhere");
    CHECK(problemsOf(text).size() == 1);
}

// A bound that is read as 0 by mistake would turn evacuations off without a word.
TEST_CASE("The bound of evacuations is off without the key, and an invalid one is a problem")
{
    std::vector<yaml_problem> problems;
    CHECK(readEntrySettings(validSettings, "entry.yaml", problems)->evacuation == duration(0));
    const auto withBound = [](const std::string &value) {
        auto text = validSettings;
        return text.insert(text.find("timing:\n") + 8, "  evacuation-ms: " + value + "\n");
    };
    CHECK(readEntrySettings(withBound("5000"), "entry.yaml", problems)->evacuation == duration(5000));
    for (const auto *value : {"0", "-5000", "soon", "1e30", "[]"}) {
        CAPTURE(value);
        CHECK(problemsOf(withBound(value)).size() == 1);
    }
}

// Guards against a half bound, which would let more requests reach a cold replica than the platform allows.
TEST_CASE("Cold replicas have a bound only if the settings give it, and give it whole")
{
    std::vector<yaml_problem> problems;
    CHECK_FALSE(readEntrySettings(validSettings, "entry.yaml", problems)->cold);
    const auto settings = readEntrySettings(validSettings + "cold:\n  overrun: 1.5\n  slack: 5.0\n", "entry.yaml", problems);
    REQUIRE(settings);
    REQUIRE(settings->cold);
    CHECK(settings->cold->overrun == 1.5);
    CHECK(settings->cold->slack == 5);
    CHECK(problemsOf(validSettings + "cold:\n  overrun: 1.5\n").size() == 1);
    CHECK(problemsOf(validSettings + "cold:\n  overrun: much\n  slack: 5\n").size() == 1);
    CHECK(problemsOf(validSettings + "cold:\n  overrun: -1\n  slack: 5\n").size() == 1);
}
