// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <map>
#include <mutex>
#include <vector>

namespace vetchpost {

/// Counts the requests for each model that this daemon holds. Safe to use from several threads.
class held_requests
{
public:
    void begin(const service_id &service, const model_id &model);
    void end(const service_id &service, const model_id &model);
    std::vector<model_demand> counts() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<service_id, model_id>, int> m_counts;
};

} // namespace vetchpost
