// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/in_flight_requests.h"

namespace vetchpost {

void in_flight_requests::add(const service_id &service, const model_id &model)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[{service, model}];
}

void in_flight_requests::remove(const service_id &service, const model_id &model)
{
    const std::lock_guard lock(m_mutex);
    --m_counts[{service, model}];
}

std::vector<model_demand> in_flight_requests::counts() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<model_demand> result;
    for (const auto &[key, count] : m_counts) {
        result.push_back({key.first, key.second, count});
    }
    return result;
}

} // namespace vetchpost
