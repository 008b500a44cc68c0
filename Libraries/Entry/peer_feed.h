// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/dispatcher_directory.h"
#include "Libraries/Entry/shared_constraints.h"
#include "Libraries/Entry/shared_parts.h"
#include "Libraries/Entry/shared_proxies.h"
#include "Libraries/Entry/shared_suspects.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Settings/entry_settings.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// The tables that all daemons keep, and synchronise along the links of the feed.
struct shared_tables
{
    shared_suspects &suspects;
    shared_constraints &constraints;
    shared_proxies &proxies;
    shared_parts &parts;
};

/// Exchanges datagrams with the other daemons. The coordinator is the source, which relays what it reads from the key-value service; the
/// others follow it and report stalled groups to it. No datagram has to arrive: a daemon without a source reads the service itself.
class peer_feed
{
public:
    /// \a localDemand returns the number of requests for each model that this daemon holds. \a didReceiveStallReport is called with the
    /// stall reports of other daemons while this one is the source, \a didReceiveStallWarning with the coordinator's warnings. All are
    /// called on the feed's thread, the last one also by sendStallWarning().
    peer_feed(const entry_settings &settings,
              store_follower &store,
              const shared_tables &tables,
              dispatcher_directory &dispatchers,
              metrics &counters,
              std::function<std::vector<model_demand>()> localDemand,
              std::function<void(const stall_report &)> didReceiveStallReport,
              std::function<void(const group_stall_warning &)> didReceiveStallWarning);
    ~peer_feed();
    peer_feed(const peer_feed &) = delete;
    peer_feed &operator=(const peer_feed &) = delete;

    /// Binds the socket and starts the feed's thread. Throws if the address cannot be bound.
    void start();
    /// Stops relaying: tells this daemon's followers to choose another source, and continues to follow.
    void endRelaying();
    /// Stops the feed's thread.
    void stop();

    /// Makes this daemon the source, or a follower again. In the latter case its own followers are told that it is no longer their source.
    void setSource(bool isSource);
    bool isSource() const;
    /// Follows the coordinator at the address \a source, or the relay that it refers to.
    void follow(const endpoint &source);
    /// Records that a first request has arrived: from now on this daemon subscribes to the replicas' changes.
    void recordTraffic();
    /// Whether a first request has arrived, here or at a daemon that follows this one.
    bool hasTraffic() const;
    /// Sends a report of a stalled group to the source. Returns false if no source is known.
    bool sendStallReport(const stall_report &report);
    /// Sends the source and the followers the entries that they lack of the tables which all daemons keep.
    void syncTables();
    /// Requests a permit from the source; the answer arrives on the feed's thread, or at once if this daemon is the source. Returns false
    /// if no source is known.
    bool requestPermit(const permit_request &request);
    /// Sends the latest change of the evacuated data centres to the followers that lack it.
    void pushEvacuations();
    /// As the source: warns all followers, and this daemon, that the group of \a head is likely to be stalled.
    void sendStallWarning(const instance_id &head);

    /// Whether the source answered recently.
    bool isSourceActive() const;
    /// Returns the number of daemons by the source's count; nothing before the first answer of a source.
    std::optional<int> daemons() const;
    std::optional<counted_daemons> daemonCount() const;
    /// Whether this daemon is the source, and may not use its count of the daemons before it has that of its predecessor.
    bool needsPredecessorCount() const;
    /// Sets the number of daemons that the predecessor as the source has recorded; 0 if there was none.
    void setPredecessorCount(int daemons);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
