// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/worker_pool.h"
#include "Libraries/Entry/daemon_count_record.h"
#include "Libraries/Entry/peer_feed.h"

#include <atomic>

namespace vetchpost {

/// Keeps the coordinator's number of daemons in the key-value service, and reads the predecessor's where this daemon knows none. The calls
/// run on \a workers, which must end before this object.
class daemon_counting
{
public:
    daemon_counting(key_value_service &service, peer_feed &feed, worker_pool &workers);

    /// Called by the coordinator from time to time.
    void update(instant now);

private:
    void synchronize();

    daemon_count_record m_record;
    peer_feed &m_feed;
    worker_pool &m_workers;
    instant m_nextUpdate;
    std::atomic<bool> m_isRunning = false;
};

} // namespace vetchpost
