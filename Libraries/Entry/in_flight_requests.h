// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <map>
#include <mutex>
#include <vector>

namespace vetchpost {

/// Counts the requests that this daemon has in flight, by service and model. Thread-safe.
class in_flight_requests
{
public:
    void add(const service_id &service, const model_id &model);
    void remove(const service_id &service, const model_id &model);
    std::vector<model_demand> counts() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<service_id, model_id>, int> m_counts;
};

} // namespace vetchpost
