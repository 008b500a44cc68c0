// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/stall_reporting.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Entry/stall_report_limit.h"

#include <map>
#include <mutex>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");

} // namespace

struct stall_reporting::private_data
{
    daemon_id daemon;
    const coordination &coordinator;
    replica_prober &prober;
    peer_feed &feed;
    std::mutex mutex;
    std::map<instance_id, instant> lastReports;
};

stall_reporting::stall_reporting(const daemon_id &daemon, const coordination &coordinator, replica_prober &prober, peer_feed &feed)
    : d(new private_data{daemon, coordinator, prober, feed, {}, {}})
{
}

stall_reporting::~stall_reporting() = default;

bool stall_reporting::admit(const instance_id &head)
{
    const std::lock_guard lock(d->mutex);
    return admitStallReport(d->lastReports, head, monotonicNow());
}

void stall_reporting::process(const instance_id &head)
{
    if (d->coordinator.isHeld(duration(), monotonicNow())) {
        d->prober.probeGroup(head);
        return;
    }
    if (!d->feed.sendStallReport({d->daemon, head})) {
        assemblyLog.write("stall_not_told", {{"head", head.value()}, {"why", "no coordinator is known"}});
    }
}

void stall_reporting::handle(const stall_report &report)
{
    if (d->coordinator.isHeld(duration(), monotonicNow())) {
        d->prober.probeGroup(report.replica);
    }
}

} // namespace vetchpost
