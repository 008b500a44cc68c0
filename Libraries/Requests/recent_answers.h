// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Requests/request_identity.h"

#include <deque>
#include <map>

namespace vetchpost {

/// An answer speaks for a request for so long. Longer than a loss of many replicas at one moment takes to be noticed.
constexpr duration answerMemory(30000);
/// Some 130 bytes each; at this many a daemon that answers 30 requests a second remembers 30 seconds.
constexpr std::size_t mostAnswersKept = 1024;

/// Which requests were answered whole lately. Where many callers send the same request, replicas that are lost for another reason end under
/// it all at one moment, and it must not be refused for that.
struct recent_answers
{
    std::map<request_identity, instant> times;
    /// In the order of their answers; an entry that was answered again stands here twice.
    std::deque<std::pair<instant, request_identity>> order;
};

void noteAnswer(recent_answers &answers, const request_identity &request, instant now);
/// Whether the request was answered lately. Each answer speaks once: the next time there must have been another.
bool takeAnswer(recent_answers &answers, const request_identity &request, instant now);

} // namespace vetchpost
