// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_publisher.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Replication of the tables that all daemons keep (requests that were at a replica when it terminated, constraints of replicas) along the
/// links of the feed: a daemon sends all its entries up to its source, and the entries that concern all daemons down to its followers. A
/// batch is resent until it is acknowledged, so that a lost datagram costs one batchResendPeriod; nothing is sent while nothing changes.
namespace vetchpost {

/// A batch without an acknowledgement is resent after this time.
constexpr duration batchResendPeriod(200);
/// At about 130 bytes per report a datagram stays within an Ethernet frame.
constexpr std::size_t maxReportsPerDatagram = 8;

/// How much of this daemon's table one neighbour (its source or a follower) has.
struct sync_neighbour
{
    /// Changes of this daemon's table up to this number have been acknowledged.
    std::uint64_t acknowledgedUpTo = 0;
    /// Number of the last change in the batch that was sent last.
    std::uint64_t sentUpTo = 0;
    /// When this batch was sent; empty once it is acknowledged.
    std::optional<instant> sentAt;
    /// Whether the next batch must ask the neighbour for its whole table.
    bool mustRequestAll = false;
};

/// State of one table's replication with the neighbours. The table's type needs the functions entriesOf(), makeReport(), mergeReport(),
/// matchesReport() and mustBeShared(), and the type of its reports keyOf().
template <class Table>
struct table_sync
{
    using key = typename std::decay_t<decltype(entriesOf(std::declval<const Table &>()))>::key_type;

    std::map<endpoint, sync_neighbour> neighbours;
    /// The neighbour that sent an entry's current state, and the number of that change: it is not sent back to this neighbour.
    std::map<key, std::pair<endpoint, std::uint64_t>> receivedFrom;
};

namespace sync_details {

/// Returns the entries that have changed since the change number \a acknowledgedUpTo and are due to the neighbour, in the order of their
/// changes.
template <class Table>
auto missingEntries(
    const table_sync<Table> &sync, const Table &table, const endpoint &neighbour, std::uint64_t acknowledgedUpTo, bool isSource)
{
    using entry = typename std::decay_t<decltype(entriesOf(table))>::value_type;
    std::vector<const entry *> missing;
    for (const auto &next : entriesOf(table)) {
        const auto received = sync.receivedFrom.find(next.first);
        const bool isItsOwn = received != sync.receivedFrom.end() && received->second == std::pair(neighbour, next.second.changed);
        if (next.second.changed > acknowledgedUpTo && (isSource || mustBeShared(next.second)) && !isItsOwn) {
            missing.push_back(&next);
        }
    }
    std::sort(
        missing.begin(), missing.end(), [](const entry *left, const entry *right) { return left->second.changed < right->second.changed; });
    return missing;
}

/// Adds new neighbours and removes former ones: one that returns later may have restarted with an empty table.
template <class Table>
void updateNeighbours(table_sync<Table> &sync, const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    std::set<endpoint> present(followers.begin(), followers.end());
    if (source) {
        present.insert(*source);
    }
    std::erase_if(sync.neighbours, [&](const auto &entry) { return !present.contains(entry.first); });
    for (const auto &address : present) {
        sync.neighbours.try_emplace(address, sync_neighbour{0, 0, std::nullopt, address == source});
    }
}

/// Returns the next batch for a neighbour, or nothing if none is due. Marks the neighbour as up to date if it lacks no entry.
template <class Table>
std::optional<feed_datagram> makeBatch(table_sync<Table> &sync, const Table &table, const endpoint &address, bool isSource, instant now)
{
    auto &neighbour = sync.neighbours.at(address);
    const bool isPending = neighbour.sentAt && now - *neighbour.sentAt < batchResendPeriod;
    if (isPending || (neighbour.acknowledgedUpTo >= table.changes && !neighbour.mustRequestAll)) {
        return std::nullopt;
    }
    auto missing = missingEntries(sync, table, address, neighbour.acknowledgedUpTo, isSource);
    if (missing.empty() && !neighbour.mustRequestAll) {
        neighbour.acknowledgedUpTo = table.changes;
        return std::nullopt;
    }
    using report = std::decay_t<decltype(makeReport(missing.front()->first, missing.front()->second, now))>;
    sync_batch<report> batch{neighbour.mustRequestAll, table.changes, {}};
    if (missing.size() > maxReportsPerDatagram) {
        missing.resize(maxReportsPerDatagram);
        batch.upTo = missing.back()->second.changed;
    }
    for (const auto *entry : missing) {
        batch.reports.push_back(makeReport(entry->first, entry->second, now));
    }
    neighbour.sentUpTo = batch.upTo;
    neighbour.sentAt = now;
    return feed_datagram{{address}, std::move(batch)};
}

} // namespace sync_details

/// Returns the batches that are due to the daemon's source, if it has one, and to its followers, and records when they were sent.
template <class Table>
std::vector<feed_datagram> collectDueBatches(
    table_sync<Table> &sync, const Table &table, const std::optional<endpoint> &source, const std::vector<endpoint> &followers, instant now)
{
    sync_details::updateNeighbours(sync, source, followers);
    std::vector<feed_datagram> due;
    for (const auto &[address, neighbour] : sync.neighbours) {
        if (auto datagram = sync_details::makeBatch(sync, table, address, address == source, now)) {
            due.push_back(std::move(*datagram));
        }
    }
    return due;
}

/// Applies a neighbour's batch to the table. Returns the acknowledgement.
template <class Table, class Report>
feed_datagram applyBatch(table_sync<Table> &sync, Table &table, const sync_batch<Report> &batch, const endpoint &from, instant now)
{
    if (const auto neighbour = sync.neighbours.find(from); batch.requestsAll && neighbour != sync.neighbours.end()) {
        // The neighbour has just begun to follow this daemon, and its table may be empty.
        neighbour->second.acknowledgedUpTo = 0;
        neighbour->second.sentAt.reset();
        std::erase_if(sync.receivedFrom, [&](const auto &entry) { return entry.second.first == from; });
    }
    for (const auto &report : batch.reports) {
        mergeReport(table, report, now);
        if (matchesReport(table, report)) {
            sync.receivedFrom[keyOf(report)] = {from, entriesOf(table).at(keyOf(report)).changed};
        }
    }
    std::erase_if(sync.receivedFrom, [&](const auto &entry) { return !entriesOf(table).contains(entry.first); });
    return {{from}, sync_ack<Report>{batch.upTo}};
}

/// Records a neighbour's acknowledgement. One that does not match the pending batch is ignored.
template <class Table, class Report>
void applyAck(table_sync<Table> &sync, const sync_ack<Report> &ack, const endpoint &from)
{
    const auto neighbour = sync.neighbours.find(from);
    if (neighbour == sync.neighbours.end() || !neighbour->second.sentAt || neighbour->second.sentUpTo != ack.upTo) {
        return;
    }
    neighbour->second.acknowledgedUpTo = ack.upTo;
    neighbour->second.sentAt.reset();
    neighbour->second.mustRequestAll = false;
}

} // namespace vetchpost
