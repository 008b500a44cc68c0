// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_source.h"
#include "Libraries/Requests/crash_suspects.h"

#include <map>
#include <optional>
#include <vector>

/// How daemons tell each other of requests under which replicas ended, along the ways of the feed: what a daemon learns goes up to its
/// source, and what concerns all goes down to its followers. Each list is sent again until its receipt has come, so that a lost datagram
/// costs a fifth of a second; nothing is sent while nothing changes.
namespace vetchpost {

/// A list without a receipt is sent again after this time.
constexpr duration suspectResendPeriod(200);
/// Suspects in one datagram: with some 130 bytes each it stays within an Ethernet frame.
constexpr std::size_t suspectsPerDatagram = 8;

/// How far one neighbour has come with this daemon's table.
struct spread_neighbour
{
    /// Changes up to this one have arrived there.
    std::uint64_t arrived = 0;
    /// The list that is under way goes up to this one.
    std::uint64_t sent = 0;
    std::optional<instant> sentAt;
    /// It has not yet been asked for all that it knows.
    bool mustGreet = false;
};

struct suspect_spread
{
    std::map<endpoint, spread_neighbour> neighbours;
    /// Who told the present state of a suspect, and the number of that change: it is not told back.
    std::map<request_identity, std::pair<endpoint, std::uint64_t>> toldBy;
};

/// What is due to the daemon's source, if it has one, and to its followers.
std::vector<feed_datagram> suspectsDue(suspect_spread &spread,
                                       const crash_suspects &table,
                                       const std::optional<endpoint> &source,
                                       const std::vector<endpoint> &followers,
                                       instant now);
/// Takes in a neighbour's list; returns its receipt.
feed_datagram takeSuspects(suspect_spread &spread, crash_suspects &table, const suspect_list &list, const endpoint &from, instant now);
void takeReceipt(suspect_spread &spread, const suspect_receipt &receipt, const endpoint &from);

} // namespace vetchpost
