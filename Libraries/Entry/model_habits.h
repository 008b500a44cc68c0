// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/stream_hedging.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// The observed habits of the streams of each model of each service, and the observed losses of the network. Thread-safe.
class model_habits
{
public:
    /// Calls \a access with the habits of a model while no other thread uses them.
    template <class Access>
    auto with(const service_id &service, const model_id &model, Access access)
    {
        const std::lock_guard lock(m_mutex);
        return access(m_habits[{service, model}], m_losses);
    }

private:
    std::mutex m_mutex;
    std::map<std::pair<service_id, model_id>, stream_habits> m_habits;
    observed_losses m_losses;
};

} // namespace vetchpost
