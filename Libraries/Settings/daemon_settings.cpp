// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Settings/daemon_settings.h"

#include "Libraries/Settings/setting_values.h"

#include <cstdlib>

namespace vetchpost {

namespace {

constexpr std::size_t minimumTokenLength = 8;
constexpr int leaseToOrderTimeRatio = 3;
constexpr duration leaseMargin(1000);

/// Reads a secret from the environment variable that the key names, so that secrets are not stored in a file.
std::string readSecret(yaml_reader &reader, const std::string &key)
{
    const auto variable = reader.requiredString(key);
    if (variable.empty()) {
        return {};
    }
    const auto *value = std::getenv(variable.c_str());
    if (value == nullptr || std::string(value).size() < minimumTokenLength) {
        reader.report(key, "the name of an environment variable that holds at least 8 characters");
        return {};
    }
    return value;
}

void readListeners(yaml_reader reader, daemon_settings &settings)
{
    settings.callers = readEndpoint(reader, "callers");
    settings.operators = readEndpoint(reader, "operators");
    settings.peers = readEndpoint(reader, "peers");
    reader.refuseUnknownKeys();
}

void readPlatform(yaml_reader reader, daemon_settings &settings)
{
    settings.keyValue = readEndpoint(reader, "key-value");
    settings.instanceList = readEndpoint(reader, "instance-list");
    settings.weightStore = readEndpoint(reader, "weight-store");
    reader.refuseUnknownKeys();
}

void readFirstPeers(yaml_reader &reader, daemon_settings &settings)
{
    for (const auto &text : reader.strings("first-peers")) {
        if (const auto address = parseEndpoint(text)) {
            settings.seedPeers.push_back(*address);
        } else {
            reader.report("first-peers", "a list of IP numbers with ports");
        }
    }
}

void readLimits(yaml_reader reader, daemon_settings &settings)
{
    constexpr std::int64_t kibibyte = 1024;
    settings.maximumBodyBytes = static_cast<std::size_t>(reader.integer("body-kib", 1, 65536, 1024) * kibibyte);
    settings.maximumStreams = static_cast<int>(reader.integer("streams", 1, 20000, 2000));
    settings.defaultDeadline = readDuration(reader, "default-deadline-ms", 100, 3600000, 120000);
    settings.drainTimeout = readDuration(reader, "drain-timeout-ms", 0, 3600000, 600000);
    reader.refuseUnknownKeys();
}

void readTiming(yaml_reader reader, daemon_settings &settings)
{
    settings.leaseTime = readDuration(reader, "lease-ms", 1000, 60000, 9000);
    settings.orderTimeout = readDuration(reader, "order-timeout-ms", 100, 30000, 2000);
    // An order may only be sent while the rest of the lease exceeds the order's timeout plus a margin of one second, even right before a
    // renewal.
    if (settings.leaseTime < leaseToOrderTimeRatio * (settings.orderTimeout + leaseMargin)) {
        reader.report("lease-ms", "at least three times the order-timeout-ms plus a second");
    }
    settings.observationPeriod = readDuration(reader, "observation-ms", 100, 10000, 1000);
    settings.exchangePeriod = readDuration(reader, "exchange-ms", 100, 10000, 1000);
    settings.claimBatchPeriod = readDuration(reader, "claim-batch-ms", 1, 1000, 50);
    reader.refuseUnknownKeys();
}

} // namespace

std::optional<daemon_settings> readDaemonSettings(const std::string &text, const std::string &file, std::vector<yaml_problem> &problems)
{
    const auto root = parseYamlMap(text, file, problems);
    if (!root) {
        return std::nullopt;
    }
    const auto problemsBefore = problems.size();
    yaml_reader reader(*root, file, "", problems);
    daemon_settings settings;
    settings.daemon = daemon_id(reader.requiredString("daemon"));
    settings.dataCentre = data_centre_id(reader.requiredString("data-centre"));
    readListeners(reader.map("listen"), settings);
    readPlatform(reader.map("platform"), settings);
    readFirstPeers(reader, settings);
    settings.operatorToken = readSecret(reader, "operator-token-variable");
    settings.peerToken = readSecret(reader, "peer-token-variable");
    readLimits(reader.map("limits"), settings);
    readTiming(reader.map("timing"), settings);
    settings.lowestLogLevel = readLogLevel(reader);
    reader.refuseUnknownKeys();
    if (problems.size() != problemsBefore) {
        return std::nullopt;
    }
    return settings;
}

} // namespace vetchpost
