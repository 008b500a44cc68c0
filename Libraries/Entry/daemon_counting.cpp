// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_counting.h"

namespace vetchpost {

namespace {

/// How often the coordinator checks whether the recorded number is out of date.
constexpr duration updatePeriod(1000);

} // namespace

daemon_counting::daemon_counting(key_value_service &service, peer_feed &feed, worker_pool &workers)
    : m_record(service)
    , m_feed(feed)
    , m_workers(workers)
{
}

void daemon_counting::update(instant now)
{
    if ((now < m_nextUpdate && !m_feed.needsPredecessorCount()) || m_isRunning.exchange(true)) {
        return;
    }
    m_nextUpdate = now + updatePeriod;
    m_workers.run([this] {
        synchronize();
        m_isRunning = false;
    });
}

void daemon_counting::synchronize()
{
    if (m_feed.needsPredecessorCount()) {
        if (const auto recorded = m_record.read()) {
            m_feed.setPredecessorCount(*recorded);
        }
    } else if (const auto daemons = m_feed.daemons()) {
        m_record.write(*daemons);
    }
}

} // namespace vetchpost
