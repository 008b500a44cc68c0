// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/suspect_spread.h"

#include <algorithm>
#include <set>

namespace vetchpost {

namespace {

using suspect_entry = std::pair<const request_identity, crash_suspect>;

bool wasToldBy(const suspect_spread &spread, const suspect_entry &entry, const endpoint &neighbour)
{
    const auto told = spread.toldBy.find(entry.first);
    return told != spread.toldBy.end() && told->second == std::pair(neighbour, entry.second.changed);
}

/// What the neighbour lacks, in the order of the changes.
std::vector<const suspect_entry *>
lackedBy(const suspect_spread &spread, const crash_suspects &table, const endpoint &neighbour, std::uint64_t arrived, bool isSource)
{
    std::vector<const suspect_entry *> lacked;
    for (const auto &entry : table.suspects) {
        const bool isWanted = isSource || concernsAll(entry.second);
        if (entry.second.changed > arrived && isWanted && !wasToldBy(spread, entry, neighbour)) {
            lacked.push_back(&entry);
        }
    }
    std::sort(lacked.begin(), lacked.end(), [](const suspect_entry *left, const suspect_entry *right) {
        return left->second.changed < right->second.changed;
    });
    return lacked;
}

/// Forgets who is no neighbour any more: one that comes back may have started anew.
void keepNeighbours(suspect_spread &spread, const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
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

std::optional<feed_datagram>
listFor(suspect_spread &spread, const crash_suspects &table, const endpoint &address, bool isSource, instant now)
{
    auto &neighbour = spread.neighbours.at(address);
    const bool isUnderWay = neighbour.sentAt && now - *neighbour.sentAt < suspectResendPeriod;
    if (isUnderWay || (neighbour.arrived >= table.changes && !neighbour.mustGreet)) {
        return std::nullopt;
    }
    auto lacked = lackedBy(spread, table, address, neighbour.arrived, isSource);
    if (lacked.empty() && !neighbour.mustGreet) {
        neighbour.arrived = table.changes;
        return std::nullopt;
    }
    suspect_list list{neighbour.mustGreet, table.changes, {}};
    if (lacked.size() > suspectsPerDatagram) {
        lacked.resize(suspectsPerDatagram);
        list.upTo = lacked.back()->second.changed;
    }
    for (const auto *entry : lacked) {
        list.suspects.push_back(evidenceOf(entry->first, entry->second, now));
    }
    neighbour.sent = list.upTo;
    neighbour.sentAt = now;
    return feed_datagram{{address}, std::move(list)};
}

} // namespace

std::vector<feed_datagram> suspectsDue(suspect_spread &spread,
                                       const crash_suspects &table,
                                       const std::optional<endpoint> &source,
                                       const std::vector<endpoint> &followers,
                                       instant now)
{
    keepNeighbours(spread, source, followers);
    std::vector<feed_datagram> due;
    for (const auto &[address, neighbour] : spread.neighbours) {
        if (auto datagram = listFor(spread, table, address, address == source, now)) {
            due.push_back(std::move(*datagram));
        }
    }
    return due;
}

feed_datagram takeSuspects(suspect_spread &spread, crash_suspects &table, const suspect_list &list, const endpoint &from, instant now)
{
    if (const auto neighbour = spread.neighbours.find(from); list.isFirst && neighbour != spread.neighbours.end()) {
        // It has just begun to follow this daemon and may know nothing.
        neighbour->second.arrived = 0;
        neighbour->second.sentAt.reset();
    }
    for (const auto &evidence : list.suspects) {
        takeEvidence(table, evidence, now);
        const auto known = table.suspects.find(evidence.request);
        const bool isSame = known != table.suspects.end() && known->second.round == evidence.round
            && known->second.ends == std::set<replica_end>(evidence.ends.begin(), evidence.ends.end());
        if (isSame) {
            spread.toldBy[evidence.request] = {from, known->second.changed};
        }
    }
    std::erase_if(spread.toldBy, [&](const auto &entry) { return !table.suspects.contains(entry.first); });
    return {{from}, suspect_receipt{list.upTo}};
}

void takeReceipt(suspect_spread &spread, const suspect_receipt &receipt, const endpoint &from)
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
