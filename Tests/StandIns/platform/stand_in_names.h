// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "platform/names.h"

/// Names of the platform's wire that only replicas and the store write; all others are the adapter's.
namespace vetchpost::test::stand_in_names {

constexpr auto created = "Created";
constexpr auto instance = "Instance-Id";
/// The replica at fault.
constexpr auto faultyReplica = "At-Server";
constexpr auto weightVersions = "Weight-Versions";
/// Tokens of the prompt and most tokens of the answer.
constexpr auto tokenCounts = "Token-Counts";
constexpr auto operatorPrefix = "op/";
/// Marks calls of the stand-in's own replicas and operator.
constexpr auto ownCall = "X-Stand-In";
constexpr auto ownCallValue = "yes";
/// The name of the stand-in's service with engines.
constexpr auto engineService = "engines";

} // namespace vetchpost::test::stand_in_names
