// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/recent_answers.h"

namespace vetchpost {

void recordAnswer(recent_answers &answers, const request_identity &request, instant now)
{
    answers.times[request] = now;
    answers.order.emplace_back(now, request);
    while (answers.order.size() > maxRecentAnswers) {
        const auto &[when, oldest] = answers.order.front();
        const auto known = answers.times.find(oldest);
        if (known != answers.times.end() && known->second <= when) {
            answers.times.erase(known);
        }
        answers.order.pop_front();
    }
}

bool consumeAnswer(recent_answers &answers, const request_identity &request, instant now)
{
    const auto known = answers.times.find(request);
    if (known == answers.times.end()) {
        return false;
    }
    const bool isRecent = now - known->second < recentAnswerLifetime;
    answers.times.erase(known);
    return isRecent;
}

} // namespace vetchpost
