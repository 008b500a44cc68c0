// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/load_shedding.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// The shedding of each model's requests. Safe to use from several threads.
class model_shedding
{
public:
    bool isAdmitted(const service_id &service, const model_id &model, std::uint64_t draw, instant now) const;
    /// Whether few first events of the model are late.
    bool hasSpareCapacity(const service_id &service, const model_id &model) const;
    void recordFirstEvent(const service_id &service, const model_id &model, bool isLate, instant now);

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<service_id, model_id>, load_shedding> m_states;
};

} // namespace vetchpost
