// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/model_shedding.h"

namespace vetchpost {

bool model_shedding::isAdmitted(const service_id &service, const model_id &model, std::uint64_t draw, instant now) const
{
    constexpr int parts = 1000;
    const std::lock_guard lock(m_mutex);
    const auto found = m_states.find({service, model});
    return found == m_states.end() || vetchpost::isAdmitted(found->second, static_cast<double>(draw % parts) / parts, now);
}

bool model_shedding::isShedding(const service_id &service, const model_id &model, instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_states.find({service, model});
    return found != m_states.end() && vetchpost::isShedding(found->second, now);
}

bool model_shedding::hasSpareCapacity(const service_id &service, const model_id &model) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_states.find({service, model});
    return found == m_states.end() || vetchpost::hasSpareCapacity(found->second);
}

void model_shedding::recordFirstEvent(const service_id &service, const model_id &model, bool isLate, instant now)
{
    const std::lock_guard lock(m_mutex);
    vetchpost::recordFirstEvent(m_states[{service, model}], isLate, now);
}

} // namespace vetchpost
