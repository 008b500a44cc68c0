// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "platform/names.h"

/// Names in the platform's protocol that only replicas and the store write; the adapter declares all others.
namespace vetchpost::test::stand_in_names {

constexpr auto created = "Created";
constexpr auto instance = "Instance-Id";
/// The replica that caused an error.
constexpr auto faultyReplica = "At-Server";
constexpr auto weightVersions = "Weight-Versions";
/// Number of tokens of the prompt, and maximum number of tokens of the answer.
constexpr auto tokenCounts = "Token-Counts";
constexpr auto operatorPrefix = "op/";
/// Header that marks calls of the stand-in replicas and operator.
constexpr auto ownCall = "X-Stand-In";
constexpr auto ownCallValue = "yes";
/// The name of the stand-in's service with engines.
constexpr auto engineService = "engines";

} // namespace vetchpost::test::stand_in_names
