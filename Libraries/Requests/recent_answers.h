// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/request_identity.h"

#include <deque>
#include <map>

namespace vetchpost {

/// How long a complete answer clears its request of suspicion. It is longer than the detection of a simultaneous loss of many replicas
/// takes.
constexpr duration recentAnswerLifetime(30000);
/// At about 130 bytes each; with this many a daemon that answers 30 requests per second remembers 30 seconds.
constexpr std::size_t maxRecentAnswers = 1024;

/// Requests that were answered completely within recentAnswerLifetime. If many clients send the same request, then several replicas that
/// terminate at the same moment for another reason all have that request, which must not be refused for it.
struct recent_answers
{
    std::map<request_identity, instant> times;
    /// In the order of the answers; a request that was answered again is listed twice.
    std::deque<std::pair<instant, request_identity>> order;
};

void recordAnswer(recent_answers &answers, const request_identity &request, instant now);
/// Returns whether the request was answered recently, and removes the answer: each one clears the request once.
bool consumeAnswer(recent_answers &answers, const request_identity &request, instant now);

} // namespace vetchpost
