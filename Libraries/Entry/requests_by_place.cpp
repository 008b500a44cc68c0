// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/requests_by_place.h"

namespace vetchpost {

void requests_by_place::add(const data_centre_id &dataCentre)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[dataCentre];
}

void requests_by_place::remove(const data_centre_id &dataCentre)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counts.find(dataCentre);
    if (found != m_counts.end() && --found->second == 0) {
        m_counts.erase(found);
    }
}

int requests_by_place::count(const data_centre_id &dataCentre) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counts.find(dataCentre);
    return found == m_counts.end() ? 0 : found->second;
}

} // namespace vetchpost
