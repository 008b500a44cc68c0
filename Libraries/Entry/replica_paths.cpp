// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_paths.h"

#include "Libraries/Base/event_log.h"

#include <map>
#include <mutex>
#include <set>

namespace vetchpost {

namespace {

constexpr event_log pathLog("path");
/// Connects are summed up over this time for the log.
constexpr duration logPeriod(1000);

} // namespace

struct replica_paths::private_data
{
    /// The replicas of a service that were connected to, and that could not be, since \a began.
    struct contacts
    {
        instant began;
        std::set<instance_id> reached;
        std::set<instance_id> unreached;
    };

    std::mutex mutex;
    std::map<service_id, contacts> contactsByService;
    counter connected;
    counter failed;

    explicit private_data(metrics &counters)
        : connected(
            counters.addCounter("vetchpost_replica_connects_total", "Connects to replicas for requests.", {{"result", "connected"}}))
        , failed(counters.addCounter("vetchpost_replica_connects_total", "Connects to replicas for requests.", {{"result", "failed"}}))
    {
    }
};

replica_paths::replica_paths(metrics &counters)
    : d(std::make_unique<private_data>(counters))
{
}

replica_paths::~replica_paths() = default;

void replica_paths::recordConnect(const service_id &service, const instance_id &replica, bool isConnected)
{
    (isConnected ? d->connected : d->failed).increment();
    const auto now = monotonicNow();
    const std::lock_guard lock(d->mutex);
    auto &contacts = d->contactsByService[service];
    if (now - contacts.began >= logPeriod) {
        if (!contacts.unreached.empty()) {
            pathLog.writeEssential("contacts",
                                   {{"service", service.value()},
                                    {"reached", contacts.reached.size()},
                                    {"unreached", contacts.unreached.size()},
                                    {"over_ms", (now - contacts.began).count()}});
        }
        contacts = {now, {}, {}};
    }
    (isConnected ? contacts.reached : contacts.unreached).insert(replica);
}

} // namespace vetchpost
