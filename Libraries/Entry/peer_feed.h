// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/shared_constraints.h"
#include "Libraries/Entry/shared_suspects.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Settings/entry_settings.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// The datagrams between daemons: the coordinator passes on what it reads from the key-value service, the others follow it and tell it of
/// groups that stand still. Nothing depends on a datagram's arrival: a daemon that hears no source asks the service itself.
class peer_feed
{
public:
    /// \a heldHere tells how many requests of each model this daemon holds. All are called on the feed's thread.
    peer_feed(const entry_settings &settings,
              store_follower &store,
              shared_suspects &suspects,
              shared_constraints &constraints,
              metrics &counters,
              std::function<std::vector<model_demand>()> heldHere,
              std::function<void(const stall_report &)> didHearStall,
              std::function<void(const group_stall_warning &)> didHearDoubt);
    ~peer_feed();
    peer_feed(const peer_feed &) = delete;
    peer_feed &operator=(const peer_feed &) = delete;

    void start();
    /// A relay tells its followers to ask somebody else, and goes on following.
    void endPassingOn();
    /// A source tells its followers that it ends.
    void stop();

    /// Whether this daemon is the source.
    void setSource(bool isSource);
    bool isSource() const;
    /// Follows the coordinator at this address, or the relay that it names.
    void follow(const endpoint &source);
    /// The first request has come: from now on the replicas' changes are wanted.
    void noteTraffic();
    /// Whether a first request has come, here or at a daemon that follows this one.
    bool hasTraffic() const;
    /// Sends a notice to the source; false where none is known.
    bool tellStall(const stall_report &notice);
    /// Sends the neighbours what they lack of the tables that all daemons keep.
    void spreadTables();
    /// Asks the source for a permit, wherever it is; false where none is known.
    bool askForPermit(const permit_question &question);
    /// As the source: tells all followers that a group is likely to stand still.
    void tellDoubt(const instance_id &head);

    /// Whether the source answered lately.
    bool isSourceActive() const;
    /// How many daemons there are, by the source's count; nothing where no source was heard yet.
    std::optional<int> daemons() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
