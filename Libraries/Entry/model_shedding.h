// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/load_shedding.h"
#include "Libraries/Routing/served_configuration.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// Load shedding for each model of each service. Thread-safe.
class model_shedding
{
public:
    /// Whether a request for the model is admitted. \a draw is a random number that selects which requests are shed.
    bool isAdmitted(const service_id &service, const model_id &model, std::uint64_t draw, instant now) const;
    /// Whether requests for the model are refused now because all of its replicas have a queue.
    bool isShedding(const service_id &service, const model_id &model, instant now) const;
    /// Whether only few of the model's recent first events were late.
    bool hasSpareCapacity(const service_id &service, const model_id &model) const;
    /// Records the first event of a stream; \a isLate: it exceeded the route's objective.
    void recordFirstEvent(const service_id &service, const model_id &model, bool isLate, instant now);

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<service_id, model_id>, load_shedding> m_states;
};

} // namespace vetchpost
