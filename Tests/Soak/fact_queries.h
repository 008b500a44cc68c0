// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_checks.h"

#include <map>

namespace vetchpost::test {

/// The events of one kind, by attempt, in the order of their times.
using events_by_attempt = std::map<request_id, std::vector<const platform_event *>>;

events_by_attempt eventsOf(const soak_facts &facts, const std::string &what);
std::map<request_id, const attempt_fact *> attemptsById(const soak_facts &facts);

bool overlaps(const disturbance &fault, instant from, instant until);
/// Whether the disturbance may strike that daemon.
bool strikes(const disturbance &fault, int daemon);
bool areReplicasDisturbed(const soak_facts &facts, instant from, instant until);
/// Whether a daemon had been running, with sound ways to a store in order, for the whole contact time before.
bool isInTouch(const soak_facts &facts, const soak_bounds &bounds, int daemon, instant at);

} // namespace vetchpost::test
