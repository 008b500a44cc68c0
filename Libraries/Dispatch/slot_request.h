// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Routing/served_configuration.h"

#include <cstdint>
#include <vector>

namespace vetchpost {

/// Number of priorities. Requests of less urgent ones count as of the last.
constexpr int priorityCount = 10;

/// One request that needs a slot at a group.
struct slot_request
{
    /// Unique at the asking daemon; with the daemon's endpoint, unique at the dispatcher.
    std::uint64_t ticket = 0;
    service_id service;
    model_id model;
    organisation_id organisation;
    /// 0 is the most urgent.
    int priority = 0;
    int promptTokens = 0;
    /// Tokens to write. Right in the median only.
    int expectedTokens = 0;
    /// Time left until the first event is late; negative if it is late already.
    duration untilLate{};
    /// Time left until the deadline.
    duration timeLeft{};
    /// The data centre of the asking daemon.
    data_centre_id dataCentre;
    /// Heads that were tried already.
    std::vector<instance_id> excluded;
    /// Whether the client comes back after a refusal.
    bool hasReturned = false;
};

enum class slot_verdict {
    /// The request may be sent to the head now.
    granted,
    /// A second answer follows.
    waiting,
    /// The request was not run and must not be sent.
    refused,
    /// The dispatcher has no group of the model.
    unknown_model
};

struct slot_answer
{
    std::uint64_t ticket = 0;
    /// The daemon that asked.
    endpoint asker;
    slot_verdict verdict = slot_verdict::unknown_model;
    /// The head of the group that has the slot; set if granted.
    instance_id head;
    /// Waiting: the time within which a second answer follows. Refused: the time after which the client should come back.
    duration wait{};
};

/// How an attempt at a group ended.
enum class slot_end {
    /// The group answered, or the request was cancelled before it was sent.
    done,
    /// The group refused the request as not run.
    rejected,
    /// The group sent nothing for too long.
    silent,
    /// The connection broke.
    lost
};

} // namespace vetchpost
