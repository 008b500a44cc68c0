// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/held_requests.h"

namespace vetchpost {

void held_requests::begin(const service_id &service, const model_id &model)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[{service, model}];
}

void held_requests::end(const service_id &service, const model_id &model)
{
    const std::lock_guard lock(m_mutex);
    --m_counts[{service, model}];
}

std::vector<model_demand> held_requests::counts() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<model_demand> result;
    for (const auto &[key, count] : m_counts) {
        result.push_back({key.first, key.second, count});
    }
    return result;
}

} // namespace vetchpost
