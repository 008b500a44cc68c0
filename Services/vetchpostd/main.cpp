// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/log.h"
#include "Libraries/Daemon/daemon.h"
#include "Libraries/Settings/daemon_settings.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>

namespace {

constexpr auto usage = R"(vetchpostd - serves language models whose replicas span several instances.

Usage:
  vetchpostd [--check] SETTINGS
  vetchpostd (-h | --help)
  vetchpostd --version

Options:
  --check     Check the settings file and end.
  -h --help   Show this text.
  --version   Show the version.

SETTINGS is a YAML file; docs/OPERATING.md describes its keys.
SIGTERM stops the daemon as planned: it says not-ready, serves what it holds to the end, then ends.

Exit codes: 0 stopped as planned, or the settings are good; 1 an address cannot be bound; 2 the settings or arguments are
wrong.
)";

constexpr auto version = "vetchpostd 0.1.0";

enum exit_code { exit_good = 0, exit_cannot_bind = 1, exit_bad_settings = 2 };

} // namespace

int main(int argc, char **argv)
{
    using namespace vetchpost;
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, version);
    const auto path = arguments.at("SETTINGS").asString();
    const auto text = readTextFile(path);
    if (!text) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return exit_bad_settings;
    }
    std::vector<yaml_problem> problems;
    const auto settings = readDaemonSettings(*text, path, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", problem.text());
    }
    if (!settings) {
        return exit_bad_settings;
    }
    if (arguments.at("--check").asBool()) {
        fmt::print("{}: good\n", path);
        return exit_good;
    }
    setLogLevel(settings->lowestLogLevel);

    // The signals are blocked before any thread starts, so that only sigwait() below takes them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        vetchpost_daemon daemon(*settings);
        daemon.start();
        int signal = 0;
        sigwait(&signals, &signal);
        daemon.stop();
    } catch (const std::exception &error) {
        fmt::print(stderr, "vetchpostd: cannot start: {}\n", error.what());
        return exit_cannot_bind;
    }
    return exit_good;
}
