// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/shared_proxies.h"

#include <algorithm>
#include <mutex>

namespace vetchpost {

struct shared_proxies::private_data
{
    mutable std::mutex mutex;
    proxy_table table;
    table_sync<proxy_table> sync;
    std::map<endpoint, proxy_use> uses;

    /// Removes the uses that say nothing any more. Requires the mutex to be held.
    void removeIdleUses(instant now)
    {
        std::erase_if(uses, [&](const auto &entry) { return entry.second.tunnels <= 0 && entry.second.avoidedUntil <= now; });
    }
};

shared_proxies::shared_proxies(const endpoint &own)
    : d(std::make_unique<private_data>())
{
    d->table.own = own;
}

shared_proxies::~shared_proxies() = default;

bool shared_proxies::announce(const tunnel_proxy &proxy)
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    expireEntries(d->table, now);
    d->removeIdleUses(now);
    return vetchpost::announce(d->table, proxy, now);
}

std::optional<chosen_proxy> shared_proxies::reserve(const tunnel_purpose &purpose, std::uint64_t draw)
{
    const std::lock_guard lock(d->mutex);
    auto chosen = chooseProxy(d->table, d->uses, purpose, monotonicNow(), draw);
    if (chosen) {
        ++d->uses[chosen->address].tunnels;
    }
    return chosen;
}

void shared_proxies::release(const endpoint &proxy, duration avoidedFor)
{
    const std::lock_guard lock(d->mutex);
    auto &use = d->uses[proxy];
    --use.tunnels;
    if (avoidedFor > duration()) {
        use.avoidedUntil = std::max(use.avoidedUntil, monotonicNow() + avoidedFor);
    }
}

bool shared_proxies::hasAny(const service_id &service) const
{
    const std::lock_guard lock(d->mutex);
    const auto &proxies = d->table.proxies;
    return std::any_of(proxies.begin(), proxies.end(), [&](const auto &entry) {
        return entry.first != d->table.own && reaches(entry.second.proxy, service);
    });
}

daemon_turn shared_proxies::turn() const
{
    const std::lock_guard lock(d->mutex);
    const auto &proxies = d->table.proxies;
    const auto own = proxies.find(d->table.own);
    return {static_cast<std::size_t>(std::distance(proxies.begin(), own == proxies.end() ? proxies.begin() : own)),
            std::max<std::size_t>(1, proxies.size())};
}

std::vector<feed_datagram> shared_proxies::dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    const std::lock_guard lock(d->mutex);
    return collectDueBatches(d->sync, d->table, source, followers, monotonicNow());
}

feed_datagram shared_proxies::receiveBatch(const proxy_batch &batch, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    return applyBatch(d->sync, d->table, batch, from, monotonicNow());
}

void shared_proxies::receiveAck(const proxy_ack &ack, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    applyAck(d->sync, ack, from);
}

} // namespace vetchpost
