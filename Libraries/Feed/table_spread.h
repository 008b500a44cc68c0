// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_source.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// How daemons tell each other what their tables hold (requests under which replicas ended, constraints of replicas), along the ways of the
/// feed: what a daemon learns goes up to its source, and what concerns all goes down to its followers. Each list is sent again until its
/// receipt has come, so that a lost datagram costs a fifth of a second; nothing is sent while nothing changes.
namespace vetchpost {

/// A list without a receipt is sent again after this time.
constexpr duration listResendPeriod(200);
/// Reports in one datagram: with some 130 bytes each it stays within an Ethernet frame.
constexpr std::size_t reportsPerDatagram = 8;

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

/// How far the neighbours have a table. Of the table it needs: entriesOf(), and for its reports keyOf(), evidenceOf(), takeEvidence(),
/// isAsTold() and concernsAll().
template <class Table>
struct table_spread
{
    using key = typename std::decay_t<decltype(entriesOf(std::declval<const Table &>()))>::key_type;

    std::map<endpoint, spread_neighbour> neighbours;
    /// Who told the present state of an entry, and the number of that change: it is not told back.
    std::map<key, std::pair<endpoint, std::uint64_t>> toldBy;
};

namespace spread_details {

/// What the neighbour lacks, in the order of the changes.
template <class Table>
auto lackedBy(const table_spread<Table> &spread, const Table &table, const endpoint &neighbour, std::uint64_t arrived, bool isSource)
{
    using entry = typename std::decay_t<decltype(entriesOf(table))>::value_type;
    std::vector<const entry *> lacked;
    for (const auto &next : entriesOf(table)) {
        const auto told = spread.toldBy.find(next.first);
        const bool isItsOwn = told != spread.toldBy.end() && told->second == std::pair(neighbour, next.second.changed);
        if (next.second.changed > arrived && (isSource || concernsAll(next.second)) && !isItsOwn) {
            lacked.push_back(&next);
        }
    }
    std::sort(
        lacked.begin(), lacked.end(), [](const entry *left, const entry *right) { return left->second.changed < right->second.changed; });
    return lacked;
}

/// Forgets who is no neighbour any more: one that comes back may have started anew.
template <class Table>
void keepNeighbours(table_spread<Table> &spread, const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    std::set<endpoint> present(followers.begin(), followers.end());
    if (source) {
        present.insert(*source);
    }
    std::erase_if(spread.neighbours, [&](const auto &entry) { return !present.contains(entry.first); });
    for (const auto &address : present) {
        spread.neighbours.try_emplace(address, spread_neighbour{0, 0, std::nullopt, address == source});
    }
}

template <class Table>
std::optional<feed_datagram> listFor(table_spread<Table> &spread, const Table &table, const endpoint &address, bool isSource, instant now)
{
    auto &neighbour = spread.neighbours.at(address);
    const bool isUnderWay = neighbour.sentAt && now - *neighbour.sentAt < listResendPeriod;
    if (isUnderWay || (neighbour.arrived >= table.changes && !neighbour.mustGreet)) {
        return std::nullopt;
    }
    auto lacked = lackedBy(spread, table, address, neighbour.arrived, isSource);
    if (lacked.empty() && !neighbour.mustGreet) {
        neighbour.arrived = table.changes;
        return std::nullopt;
    }
    using report = std::decay_t<decltype(evidenceOf(lacked.front()->first, lacked.front()->second, now))>;
    spread_list<report> list{neighbour.mustGreet, table.changes, {}};
    if (lacked.size() > reportsPerDatagram) {
        lacked.resize(reportsPerDatagram);
        list.upTo = lacked.back()->second.changed;
    }
    for (const auto *entry : lacked) {
        list.reports.push_back(evidenceOf(entry->first, entry->second, now));
    }
    neighbour.sent = list.upTo;
    neighbour.sentAt = now;
    return feed_datagram{{address}, std::move(list)};
}

} // namespace spread_details

/// What is due to the daemon's source, if it has one, and to its followers.
template <class Table>
std::vector<feed_datagram> listsDue(table_spread<Table> &spread,
                                    const Table &table,
                                    const std::optional<endpoint> &source,
                                    const std::vector<endpoint> &followers,
                                    instant now)
{
    spread_details::keepNeighbours(spread, source, followers);
    std::vector<feed_datagram> due;
    for (const auto &[address, neighbour] : spread.neighbours) {
        if (auto datagram = spread_details::listFor(spread, table, address, address == source, now)) {
            due.push_back(std::move(*datagram));
        }
    }
    return due;
}

/// Takes in a neighbour's list; returns its receipt.
template <class Table, class Report>
feed_datagram takeList(table_spread<Table> &spread, Table &table, const spread_list<Report> &list, const endpoint &from, instant now)
{
    if (const auto neighbour = spread.neighbours.find(from); list.isFirst && neighbour != spread.neighbours.end()) {
        // It has just begun to follow this daemon and may know nothing.
        neighbour->second.arrived = 0;
        neighbour->second.sentAt.reset();
    }
    for (const auto &report : list.reports) {
        takeEvidence(table, report, now);
        if (isAsTold(table, report)) {
            spread.toldBy[keyOf(report)] = {from, entriesOf(table).at(keyOf(report)).changed};
        }
    }
    std::erase_if(spread.toldBy, [&](const auto &entry) { return !entriesOf(table).contains(entry.first); });
    return {{from}, spread_receipt<Report>{list.upTo}};
}

template <class Table, class Report>
void takeReceipt(table_spread<Table> &spread, const spread_receipt<Report> &receipt, const endpoint &from)
{
    const auto neighbour = spread.neighbours.find(from);
    if (neighbour == spread.neighbours.end() || !neighbour->second.sentAt || neighbour->second.sent != receipt.upTo) {
        return;
    }
    neighbour->second.arrived = receipt.upTo;
    neighbour->second.sentAt.reset();
    neighbour->second.mustGreet = false;
}

} // namespace vetchpost
