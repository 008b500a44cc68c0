// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Tests/Soak/soak_facts.h"

#include <json/value.h>

namespace vetchpost::test {

/// Where the stand-ins of the platform listen.
struct platform_addresses
{
    endpoint store;
    endpoint storeControl;
    endpoint replicaControl;
    std::uint16_t replicaPort = 0;
};

void setFaults(const endpoint &control, const Json::Value &switches);
/// What a stand-in says of itself; null where it does not answer.
Json::Value factsOf(const endpoint &control);
/// The events after number \a last, which moves on.
std::vector<platform_event> newEvents(const endpoint &control, std::uint64_t &last);

/// Writes the configuration of a version as the operator; when the store took it, or nothing. Key \a changingKey is beside the lasting one.
std::optional<instant> writeConfiguration(const endpoint &store, std::uint64_t version, const std::string &changingKey);

/// Whether a daemon says that it is ready.
bool isReady(const endpoint &readiness);

} // namespace vetchpost::test
