// SPDX-License-Identifier: Apache-2.0
// The part of peer_feed that receives and handles the messages of other daemons.
#include "Libraries/Entry/peer_feed_data.h"
#include "Libraries/Entry/stall_report_limit.h"
#include "Libraries/Feed/feed_relays.h"

#include <map>
#include <utility>

namespace vetchpost {

namespace {

/// Datagrams that are received before anything is sent. Some hundred followers send this many in a second.
constexpr std::size_t datagramsPerRound = 256;

} // namespace

// Batches of any daemon are accepted: one that has just changed its source may still have entries that this one lacks.
void peer_feed::private_data::handle(const suspect_batch &batch, const endpoint &from)
{
    socket.send(tables.suspects.receiveBatch(batch, from));
    syncTables();
}

void peer_feed::private_data::handle(const constraint_batch &batch, const endpoint &from)
{
    socket.send(tables.constraints.receiveBatch(batch, from));
    syncTables();
}

void peer_feed::private_data::handle(const proxy_batch &batch, const endpoint &from)
{
    socket.send(tables.proxies.receiveBatch(batch, from));
    syncTables();
}

void peer_feed::private_data::handle(const proxy_ack &ack, const endpoint &from)
{
    tables.proxies.receiveAck(ack, from);
}

void peer_feed::private_data::handle(const part_batch &batch, const endpoint &from)
{
    socket.send(tables.parts.receiveBatch(batch, from));
    syncTables();
}

void peer_feed::private_data::handle(const part_ack &ack, const endpoint &from)
{
    tables.parts.receiveAck(ack, from);
}

void peer_feed::private_data::handle(const constraint_ack &ack, const endpoint &from)
{
    tables.constraints.receiveAck(ack, from);
}

// Only the source issues permits: two daemons that issued them for one replica would exceed its limit.
void peer_feed::private_data::handle(const permit_request &request, const endpoint &from)
{
    if (isSource()) {
        socket.send({{from}, tables.constraints.issue(request, from)});
    }
}

void peer_feed::private_data::handle(const permit_response &response, const endpoint &from)
{
    if (from == knownOrigin()) {
        tables.constraints.addPermits(response);
    }
}

void peer_feed::private_data::handle(const suspect_ack &ack, const endpoint &from)
{
    tables.suspects.receiveAck(ack, from);
}

// Only the latest subscription of each follower is answered: an overloaded source would otherwise answer subscriptions that have timed out,
// and never catch up.
void peer_feed::private_data::receiveDatagrams(duration time)
{
    std::map<endpoint, feed_subscription> subscriptions;
    auto wait = time;
    for (std::size_t count = 0; count < datagramsPerRound; ++count) {
        const auto datagram = socket.receive(wait);
        if (!datagram) {
            break;
        }
        wait = duration(0);
        if (const auto *subscription = std::get_if<feed_subscription>(&datagram->second)) {
            subscriptions.insert_or_assign(datagram->first, *subscription);
        } else {
            std::visit([&](const auto &body) { handle(body, datagram->first); }, datagram->second);
        }
    }
    for (const auto &[from, subscription] : subscriptions) {
        handle(subscription, from);
    }
}

void peer_feed::private_data::handle(const feed_subscription &subscription, const endpoint &from)
{
    if (!servesFollowers()) {
        socket.send({{from}, feed_end()});
        return;
    }
    if (subscription.wantsReplicas) {
        store.recordTraffic();
        recordTraffic();
    }
    socket.sendAll(store.answerSubscription(subscription, from, isSource()));
}

void peer_feed::private_data::handle(const feed_referral &referral, const endpoint &from)
{
    const std::lock_guard lock(mutex);
    if (referral.relay != announcedPeers(settings) && acceptReferral(follower, from, referral.relay, monotonicNow())) {
        feedLog.write("source_referred", {{"source", from.text()}, {"relay", referral.relay.text()}});
    }
}

void peer_feed::private_data::handle(const feed_update &update, const endpoint &from)
{
    std::optional<instant> asked;
    {
        const std::lock_guard lock(mutex);
        if (role.isSource || from != follower.source) {
            return;
        }
        const auto now = monotonicNow();
        asked = acceptUpdate(follower, update, now);
        if (asked) {
            role.hasReceivedFeed = true;
            origin = update.origin.source;
            // A count that has not come from the source just now must not be passed on as if it had.
            store.setOrigin({update.origin.source, update.origin.hops + 1});
            store.setSharingDaemons(update.daemons > 0 ? knownDaemons(follower, now).value_or(0) : 0);
        }
        if (asked && !follower.hasSourceAnswered) {
            follower.hasSourceAnswered = true;
            feedLog.write("source_heard", {{"source", from.text()}, {"hops", update.origin.hops}, {"daemons", update.daemons}});
        }
    }
    dispatcherNaming.apply(update);
    store.applyUpdate(update, asked);
    // Sent at once, so that a relay adds nothing to the time for which the source gathers changes.
    socket.sendAll(store.pendingPushes());
}

void peer_feed::private_data::handle(const stall_report &report, const endpoint & /*from*/)
{
    if (isSource()) {
        didReceiveStallReport(report);
    } else if (mayForwardReport(report.replica)) {
        sendToSource(report);
    }
}

bool peer_feed::private_data::mayForwardReport(const instance_id &head)
{
    const std::lock_guard lock(mutex);
    return admitStallReport(lastForwards, head, monotonicNow());
}

bool peer_feed::private_data::isFromSource(const endpoint &from) const
{
    const std::lock_guard lock(mutex);
    return from == follower.source;
}

void peer_feed::private_data::handle(const group_stall_warning &warning, const endpoint &from)
{
    if (isFromSource(from)) {
        didReceiveStallWarning(warning);
        socket.send({store.activeFollowers(), warning});
    }
}

void peer_feed::private_data::handle(const feed_end & /*message*/, const endpoint &from)
{
    const std::lock_guard lock(mutex);
    if (from == follower.source) {
        abandonSource("the source has ended");
    }
}

} // namespace vetchpost
