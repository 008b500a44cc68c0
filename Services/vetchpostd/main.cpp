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

#include <malloc.h>

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
  --check             Check the settings file and exit.
  --settings=<file>   The settings file; without it the environment variable VETCHPOST_SETTINGS names it.
  -h --help           Show this text.
  --version           Show the version.

The form with SETTINGS, a YAML file, runs on the product's own interfaces; docs/OPERATING.md describes its keys.
The form "entry" runs on a platform whose replicas report themselves; docs/OPERATIONS.md describes its keys.
SIGTERM stops the daemon gracefully: it reports not ready, drains the requests in flight, then exits.
SIGHUP reads the settings again: the log level and whether decisions are logged change at once, all else at the next start.

Exit codes: 0 stopped gracefully, or the settings are valid; 1 cannot start, for example as an address cannot be bound; 2 the
settings or arguments are invalid.
)";

constexpr auto settingsVariable = "VETCHPOST_SETTINGS";

enum exit_code { exit_success = 0, exit_cannot_bind = 1, exit_bad_settings = 2 };

/// Reads a settings file and prints its problems to stderr. Returns nothing if the file cannot be read or is invalid.
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

/// Applies the log level of settings that were read again after SIGHUP. All other settings take effect at the next start. Invalid
/// settings change nothing.
template <class Settings>
void reloadLogLevel(const std::optional<Settings> &settings)
{
    constexpr part_log mainLog("main");
    if (!settings) {
        mainLog.error("The new settings are invalid. The current settings stay in effect.");
        return;
    }
    setLogLevel(settings->lowestLogLevel);
    mainLog.info("The settings were read again.");
}

/// Applies the log level and the event log switch of settings that were read again after SIGHUP, and logs an event about it.
void reloadEntry(const std::optional<entry_settings> &settings)
{
    constexpr event_log daemonLog("daemon");
    reloadLogLevel(settings);
    if (settings && settings->isLogOn) {
        setEventLogOn(true);
    }
    // The event is written while the event log is on, so that the log shows when it is switched off and on again.
    daemonLog.write("settings_read", {{"good", settings.has_value()}, {"digest", settings ? settings->digest : std::string()}});
    if (settings) {
        setEventLogOn(settings->isLogOn);
    }
}

/// Starts the daemon, waits for SIGTERM or SIGINT, and stops it. Calls \a reload on each SIGHUP.
template <class Daemon, class Reload>
int runUntilStopped(Daemon &daemon, const sigset_t &signals, const Reload &reload)
{
    daemon.start();
    int signal = 0;
    for (sigwait(&signals, &signal); signal == SIGHUP; sigwait(&signals, &signal)) {
        reload();
    }
    daemon.stop();
    return exit_success;
}

/// Blocks the signals that runUntilStopped() waits for, and ignores SIGPIPE. Must run before any thread starts, so that only sigwait()
/// receives the signals.
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

/// Gives each large block of memory a mapping of its own, which is returned to the system when the block is freed. By default glibc raises
/// its threshold to the size of the blocks that are freed, and each thread's heap then keeps the largest bodies that it has held.
void returnLargeBlocks()
{
    constexpr int leastBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, leastBytes);
}

int runOwnInterfaces(const std::string &path, bool isCheckOnly)
{
    const auto settings = readSettings(path, readDaemonSettings);
    if (!settings) {
        return exit_bad_settings;
    }
    if (isCheckOnly) {
        fmt::print("{}: good\n", path);
        return exit_success;
    }
    setLogLevel(settings->lowestLogLevel);
    const auto signals = blockSignals();
    vetchpost_daemon daemon(*settings);
    return runUntilStopped(daemon, signals, [&] { reloadLogLevel(readSettings(path, readDaemonSettings)); });
}

int runEntry(const std::string &path, bool isCheckOnly)
{
    const auto settings = readSettings(path, readEntrySettings);
    if (!settings) {
        return exit_bad_settings;
    }
    if (isCheckOnly) {
        fmt::print("{}: good\n", path);
        return exit_success;
    }
    setLogLevel(settings->lowestLogLevel);
    const auto signals = blockSignals();
    const auto makeStore = [](const endpoint &address, metrics &counters) { return std::make_unique<platform_store>(address, counters); };
    entry_daemon daemon(*settings, std::make_unique<platform_dialect>(), makeStore);
    const auto code = runUntilStopped(daemon, signals, [&] { reloadEntry(readSettings(path, readEntrySettings)); });
    // Exit without waiting for threads that are blocked on the key-value service: they hold nothing that could be lost, and the wait could
    // exceed the platform's grace period for stopping.
    std::_Exit(code);
}

/// The settings file of the form "entry": the option, else the environment variable. Empty if neither is set.
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
    const bool isCheckOnly = arguments.at("--check").asBool();
    returnLargeBlocks();
    try {
        return arguments.at("entry").asBool() ? runEntry(entrySettingsPath(arguments), isCheckOnly)
                                              : runOwnInterfaces(arguments.at("SETTINGS").asString(), isCheckOnly);
    } catch (const std::exception &error) {
        fmt::print(stderr, "vetchpostd: cannot start: {}\n", error.what());
        return exit_cannot_bind;
    }
}
