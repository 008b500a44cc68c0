// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/daemon_turn.h"
#include "Libraries/Feed/proxy_choice.h"
#include "Libraries/Feed/table_sync.h"

#include <memory>

namespace vetchpost {

/// This daemon's table of the daemons through which replicas can be reached, which is synchronised with the daemon's source and followers,
/// and its use of them. Thread-safe.
class shared_proxies
{
public:
    /// \a own is the address at which this daemon receives the calls of others.
    explicit shared_proxies(const endpoint &own);
    ~shared_proxies();
    shared_proxies(const shared_proxies &) = delete;
    shared_proxies &operator=(const shared_proxies &) = delete;

    /// Announces this daemon if that is due. Returns whether the table has changed, so that it must be synchronised.
    bool announce(const tunnel_proxy &proxy);
    /// Chooses a daemon to ask for a tunnel and counts the tunnel, until release(). Returns nothing if none is known to reach the service.
    std::optional<chosen_proxy> reserve(const tunnel_purpose &purpose, std::uint64_t draw);
    /// Ends a tunnel. If \a avoidedFor is positive, the daemon is not asked again for this time.
    void release(const endpoint &proxy, duration avoidedFor);
    /// Whether a daemon is known, this one aside, that reaches the service.
    bool hasAny(const service_id &service) const;

    /// Returns the place of this daemon among all that are known, by their addresses.
    daemon_turn turn() const;

    // Synchronisation with the source and the followers
    /// Returns the batches to send now to the source, if there is one, and to the followers.
    std::vector<feed_datagram> dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers);
    /// Merges a batch of another daemon's table. Returns its acknowledgement.
    feed_datagram receiveBatch(const proxy_batch &batch, const endpoint &from);
    /// Handles the acknowledgement of a batch that was sent.
    void receiveAck(const proxy_ack &ack, const endpoint &from);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
