// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Requests/replica_block.h"
#include "Libraries/Requests/replica_notice.h"
#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/route_table.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace vetchpost {

/// The cold replicas as this daemon knows them, and the pacing of its own requests to them. Off until turnOn() is called. Logs which
/// replicas become cold and warm. Safe to use from several threads.
class cold_replicas
{
public:
    explicit cold_replicas(metrics &counters);
    ~cold_replicas();
    cold_replicas(const cold_replicas &) = delete;
    cold_replicas &operator=(const cold_replicas &) = delete;

    /// Starts the pacing with the bound on all daemons' requests. \a share is the part of a replica's rate that is paced here, and
    /// \a knownDaemons returns the number of daemons, or nothing if it is not known. Called before other threads use the object.
    void turnOn(const cold_bound &bound, double share, std::function<std::optional<int>()> knownDaemons);
    bool isOn() const;
    /// Whether any replica is cold. While there is none, requests cost this check alone.
    bool hasAny() const;

    /// Applies the cold times of the replicas' entries.
    void applyEntries(const replica_directory &directory, const route_table &routes);
    /// Applies the header of an answer of a replica that accepts \a perSecond requests while it is cold.
    void applyNotice(const replica_key &replica, double perSecond, const cold_notice &notice);
    /// Logs and removes the replicas whose cold time is over.
    void removeWarm();

    /// Returns whether and until when this daemon may not send the replica a request.
    replica_block blockOf(const replica_key &replica, instant now) const;
    /// Takes the request that may be sent to the replica now. Returns false if none may be sent yet.
    bool takeSend(const replica_key &replica);
    /// Reserves the earliest request to one of the replicas that may be sent by \a until; nothing if all are later.
    std::optional<cold_reservation> reserveSend(const std::vector<replica_key> &replicas, instant until);

    /// Counts cold replicas that a request had to pass over.
    void countPassedOver(std::size_t replicas) const;
    /// Returns the number of replicas that are cold.
    int count() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
