// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Tests/Soak/soak_facts.h"

#include <json/value.h>

namespace vetchpost::test {

/// The addresses on which the stand-ins of the platform listen.
struct platform_addresses
{
    endpoint store;
    endpoint storeControl;
    endpoint replicaControl;
    std::uint16_t replicaPort = 0;
};

/// Sets fault switches of a stand-in.
void setFaults(const endpoint &control, const Json::Value &switches);
/// Fetches the state that a stand-in reports, or null if it does not answer.
Json::Value fetchFacts(const endpoint &control);
/// Fetches the events of a stand-in after number \a last, and advances \a last to the newest of them.
std::vector<platform_event> fetchEvents(const endpoint &control, std::uint64_t &last);

/// Returns the value of a key in the store, or nothing if it has none or the store does not answer.
std::optional<std::string> readValue(const endpoint &store, const std::string &key);
/// Writes a version of the configuration as the operator does. It accepts \a changingKey beside the lasting key. Returns the time after the
/// store accepted it, or nothing if the store did not.
std::optional<instant> writeConfiguration(const endpoint &store, std::uint64_t version, const std::string &changingKey, int coldPerSecond);

/// Writes the key of an evacuation as the operator does. Returns the time after the store accepted it, or nothing if the store did not.
std::optional<instant> writeEvacuation(const endpoint &store, const std::string &zone, const std::string &value = "{}");
/// Removes the key of an evacuation. Returns whether the store accepted it.
bool removeEvacuation(const endpoint &store, const std::string &zone);

/// Returns whether a daemon reports that it is ready.
bool isReady(const endpoint &readiness);

} // namespace vetchpost::test
