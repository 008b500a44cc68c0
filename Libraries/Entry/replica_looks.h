// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/silent_replicas.h"
#include "Libraries/Entry/assembly_figures.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/peer_feed.h"
#include "Libraries/Entry/store_follower.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// Asks replicas themselves whether they live, on threads of its own. The coordinator gathers what it and other daemons find.
class replica_looks
{
public:
    /// \a didChange is called when something was found that planning should know, \a didAnswer with each answer of a replica.
    replica_looks(key_value_service &keyValue,
                  const entry_dialect &dialect,
                  store_follower &store,
                  peer_feed &feed,
                  assembly_figures &figures,
                  metrics &counters,
                  std::function<void()> didChange,
                  answer_listener didAnswer);
    ~replica_looks();
    replica_looks(const replica_looks &) = delete;
    replica_looks &operator=(const replica_looks &) = delete;

    void stop();
    /// As the coordinator: begins a term without anything known.
    void forget();
    /// As the coordinator: looks at members without an entry where it is time, and tells who is silent.
    silence_report report(const replica_directory &directory, instant now);
    /// As the coordinator: looks at all members of a group.
    void lookAtGroup(const instance_id &head);
    /// Whether others did not answer for so long, because of this daemon's own trouble, that it should coordinate no more.
    bool mustHandOver(instant now) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
