// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/entry_settings.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Settings/setting_values.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Reads a time that a platform gives in seconds; \a inMilliseconds if it gives none.
duration readSeconds(yaml_reader &reader, const char *key, duration inMilliseconds)
{
    constexpr double least = 0.1;
    constexpr double most = 600;
    constexpr double millisecondsPerSecond = 1000;
    const auto seconds = reader.number(key, least, most, static_cast<double>(inMilliseconds.count()) / millisecondsPerSecond);
    return duration(std::llround(seconds * millisecondsPerSecond));
}

void readListeners(yaml_reader reader, entry_settings &settings)
{
    settings.callers = readEndpoint(reader, "callers");
    settings.readiness = readEndpoint(reader, "readiness");
    settings.peers = readEndpoint(reader, "peers");
    if (reader.has("peers-announced")) {
        settings.peersAnnounced = readEndpoint(reader, "peers-announced");
    }
    // A template leaves the value empty if the platform has none.
    if (!reader.string("dispatch", "").empty()) {
        settings.dispatch = readEndpoint(reader, "dispatch");
    }
    reader.refuseUnknownKeys();
}

void readTiming(yaml_reader reader, entry_settings &settings)
{
    settings.keyRevocation = readDuration(reader, "key-revocation-ms", 500, 600000, 5000);
    settings.isKeyRevocationStrict = reader.flag("key-revocation-is-strict", true);
    settings.configurationApply = readDuration(reader, "configuration-apply-ms", 500, 600000, 2000);
    settings.evacuation = readDuration(reader, "evacuation-ms", 500, 600000, 0);
    settings.stopGrace = readSeconds(reader, "stop-grace-s", readDuration(reader, "stop-grace-ms", 500, 600000, 8000));
    settings.heartbeat = readDuration(reader, "replica-heartbeat-ms", 100, 60000, 1200);
    // Accepted for existing settings files; nothing depends on it.
    static_cast<void>(readDuration(reader, "group-stall-ms", 100, 600000, 5000));
    settings.leaseTime = readDuration(reader, "lease-ms", 1000, 60000, 2000);
    reader.refuseUnknownKeys();
}

void readRetries(yaml_reader reader, entry_settings &settings)
{
    settings.retryShare = reader.number("share", 0, 1, 0.2);
    settings.retryWindow = readSeconds(reader, "window-s", readDuration(reader, "window-ms", 100, 600000, 10000));
    settings.retrySlack = static_cast<int>(reader.integerRoundedDown("slack", 0, 1000000, 100));
    reader.refuseUnknownKeys();
}

void readCold(yaml_reader reader, entry_settings &settings)
{
    // Both are needed: a bound with a default part could be above the one that the platform checks.
    if (!reader.has("overrun") || !reader.has("slack")) {
        reader.report(reader.has("overrun") ? "slack" : "overrun", "a number, as cold replicas have a bound");
    }
    settings.cold = cold_settings{reader.number("overrun", 0, 1000, 1), reader.number("slack", 0, 1000000, 0)};
    reader.refuseUnknownKeys();
}

} // namespace

std::optional<entry_settings> readEntrySettings(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems)
{
    const auto root = parseYamlMap(text, file, problems);
    if (!root) {
        return std::nullopt;
    }
    const auto problemsBefore = problems.size();
    yaml_reader reader(*root, file, "", problems);
    entry_settings settings;
    settings.daemon = daemon_id(reader.requiredString("daemon"));
    settings.dataCentre = data_centre_id(reader.requiredString("data-centre"));
    settings.keyValue = readEndpoint(reader, "key-value");
    settings.isFirstStart = reader.flag("first-start", false);
    settings.maximumConnections = static_cast<int>(reader.integer("connections", 16, 20000, 400));
    readListeners(reader.map("listen"), settings);
    readTiming(reader.map("timing"), settings);
    readRetries(reader.map("retries"), settings);
    if (const auto contracts = reader.node("contracts"); contracts.IsDefined() && !contracts.IsNull()) {
        settings.contracts = reader.strings("contracts");
    }
    if (!reader.string("dispatch", "").empty()) {
        settings.dispatchSwitch = reader.flag("dispatch", false);
    }
    // The smallest instances have a tenth of a core.
    settings.processorShare = reader.number("processor-share", 0.001, 1024, 1);
    settings.memoryMb = reader.number("memory-mb", 1, 1048576, 160);
    if (reader.has("tunnels")) {
        settings.tunnelCapacity = static_cast<int>(reader.integer("tunnels", 0, 20000, 0));
    }
    if (reader.has("cold")) {
        readCold(reader.map("cold"), settings);
    }
    settings.digest = fingerprintOf(text);
    settings.isLogOn = reader.flag("log", true);
    settings.lowestLogLevel = readLogLevel(reader);
    reader.refuseUnknownKeys();
    if (settings.dispatchSwitch.value_or(false) && !settings.dispatch) {
        reader.report("dispatch", "the address listen.dispatch, which slot dispatch needs");
    }
    if (problems.size() != problemsBefore) {
        return std::nullopt;
    }
    return settings;
}

// Relaying a stream takes less than a thousandth of a core; a third is left for bursts.
const endpoint &announcedPeers(const entry_settings &settings)
{
    return settings.peersAnnounced ? *settings.peersAnnounced : settings.peers;
}

double requestsPerSecond(const entry_settings &settings)
{
    constexpr double requestsPerCore = 1000;
    constexpr double least = 16;
    return std::max(least, requestsPerCore * settings.processorShare);
}

int tunnelCapacity(const entry_settings &settings)
{
    const auto byProcessor = static_cast<int>(requestsPerSecond(settings));
    return settings.tunnelCapacity.value_or(std::min(byProcessor, settings.maximumConnections));
}

std::size_t bodyMemoryLimit(const entry_settings &settings)
{
    constexpr double share = 0.25;
    constexpr double bytesPerMebibyte = 1024 * 1024;
    return static_cast<std::size_t>(settings.memoryMb * share * bytesPerMebibyte);
}

// Keys are part of the configuration and become stale with it. If the configuration were only read as often as configurationApply requires,
// a daemon could refuse all requests during each read.
duration configurationAgeLimit(const entry_settings &settings)
{
    return settings.isKeyRevocationStrict ? std::min(settings.configurationApply, settings.keyRevocation) : settings.configurationApply;
}

} // namespace vetchpost
