// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// Counts the requests that this daemon has in flight, by the data centre of the replica. Thread-safe.
class requests_by_place
{
public:
    void add(const data_centre_id &dataCentre);
    void remove(const data_centre_id &dataCentre);
    int count(const data_centre_id &dataCentre) const;

private:
    mutable std::mutex m_mutex;
    std::map<data_centre_id, int> m_counts;
};

} // namespace vetchpost
