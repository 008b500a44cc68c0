// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/event_log.h"
#include "Libraries/Base/log.h"
#include "Libraries/Base/version.h"
#include "Libraries/Daemon/daemon.h"
#include "Libraries/Entry/entry_daemon.h"
#include "Libraries/Settings/daemon_settings.h"
#include "Libraries/Settings/entry_settings.h"
#include "platform/platform_dialect.h"
#include "platform/platform_store.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

namespace {

using namespace vetchpost;

constexpr auto usage = R"(vetchpostd - serves language models whose replicas span several instances.

Usage:
  vetchpostd entry [--check] [--settings=<file>]
  vetchpostd [--check] SETTINGS
  vetchpostd (-h | --help)
  vetchpostd --version

Options:
  --check             Check the settings file and end.
  --settings=<file>   The settings file; without it the environment variable VETCHPOST_SETTINGS names it.
  -h --help           Show this text.
  --version           Show the version.

The form with SETTINGS runs on the product's own interfaces; docs/OPERATING.md describes the keys of SETTINGS, a YAML file.
The form "entry" runs on a platform whose replicas report themselves; docs/OPERATIONS.md describes its keys.
SIGTERM stops the daemon as planned: it says not-ready, serves what it holds to the end, then ends.
SIGHUP reads the settings again: the log level and whether decisions are logged change at once, all else with the next start.

Exit codes: 0 stopped as planned, or the settings are good; 1 an address cannot be bound; 2 the settings or arguments are
wrong.
)";

constexpr auto settingsVariable = "VETCHPOST_SETTINGS";

enum exit_code { exit_good = 0, exit_cannot_bind = 1, exit_bad_settings = 2 };

/// Reads a settings file and prints what is wrong with it.
template <class Read>
auto readSettings(const std::string &path, const Read &read) -> decltype(read("", path, std::declval<std::vector<yaml_problem> &>()))
{
    const auto text = readTextFile(path);
    if (!text) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return std::nullopt;
    }
    std::vector<yaml_problem> problems;
    auto settings = read(*text, path, problems);
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", problem.text());
    }
    return settings;
}

/// After SIGHUP the settings are read and checked again. The log level changes at once, all else with the next start; settings with
/// problems change nothing.
template <class Settings>
void reloadLogLevel(const std::optional<Settings> &settings)
{
    constexpr part_log mainLog("main");
    if (!settings) {
        mainLog.error("The settings have problems; those at hand stay.");
        return;
    }
    setLogLevel(settings->lowestLogLevel);
    mainLog.info("The settings were read again.");
}

void reloadEntry(const std::optional<entry_settings> &settings)
{
    constexpr event_log daemonLog("daemon");
    reloadLogLevel(settings);
    if (settings && settings->isLogOn) {
        setEventLogOn(true);
    }
    // Between the two, so that the log tells when it goes off and when it is on again.
    daemonLog.write("settings_read", {{"good", settings.has_value()}, {"digest", settings ? settings->digest : std::string()}});
    if (settings) {
        setEventLogOn(settings->isLogOn);
    }
}

/// Starts the daemon, waits for a signal to stop, and stops it.
template <class Daemon, class Reload>
int runUntilStopped(Daemon &daemon, const sigset_t &signals, const Reload &reload)
{
    daemon.start();
    int signal = 0;
    for (sigwait(&signals, &signal); signal == SIGHUP; sigwait(&signals, &signal)) {
        reload();
    }
    daemon.stop();
    return exit_good;
}

/// The signals are blocked before any thread starts, so that only sigwait() takes them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runOwnInterfaces(const std::string &path, bool isCheck)
{
    const auto settings = readSettings(path, readDaemonSettings);
    if (!settings) {
        return exit_bad_settings;
    }
    if (isCheck) {
        fmt::print("{}: good\n", path);
        return exit_good;
    }
    setLogLevel(settings->lowestLogLevel);
    const auto signals = blockSignals();
    vetchpost_daemon daemon(*settings);
    return runUntilStopped(daemon, signals, [&] { reloadLogLevel(readSettings(path, readDaemonSettings)); });
}

int runEntry(const std::string &path, bool isCheck)
{
    const auto settings = readSettings(path, readEntrySettings);
    if (!settings) {
        return exit_bad_settings;
    }
    if (isCheck) {
        fmt::print("{}: good\n", path);
        return exit_good;
    }
    setLogLevel(settings->lowestLogLevel);
    const auto signals = blockSignals();
    const auto makeStore = [](const endpoint &address, metrics &counters) { return std::make_unique<platform_store>(address, counters); };
    entry_daemon daemon(*settings, std::make_unique<platform_dialect>(), makeStore);
    const auto code = runUntilStopped(daemon, signals, [&] { reloadEntry(readSettings(path, readEntrySettings)); });
    // Threads that still wait for the key-value service hold nothing that could be lost, and the stop grace does not wait for them.
    std::_Exit(code);
}

std::string entrySettingsPath(const std::map<std::string, docopt::value> &arguments)
{
    const auto &named = arguments.at("--settings");
    const auto *variable = std::getenv(settingsVariable);
    if (named.isString()) {
        return named.asString();
    }
    return variable == nullptr ? std::string() : variable;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, fmt::format("vetchpostd {}", programVersion));
    const bool isCheck = arguments.at("--check").asBool();
    try {
        return arguments.at("entry").asBool() ? runEntry(entrySettingsPath(arguments), isCheck)
                                              : runOwnInterfaces(arguments.at("SETTINGS").asString(), isCheck);
    } catch (const std::exception &error) {
        fmt::print(stderr, "vetchpostd: cannot start: {}\n", error.what());
        return exit_cannot_bind;
    }
}
