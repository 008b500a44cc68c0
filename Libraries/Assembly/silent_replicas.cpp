// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/silent_replicas.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A replica that did not answer is believed dead for so long, unless it answers or its entry goes.
constexpr duration suspicionTime(10000);
/// How often a member without an entry is looked at.
constexpr duration unlistedLookPeriod(800);
/// So many of them within the time of a look: when many replicas are cut off from the key-value service, looks at all of them would take
/// a small coordinator's processor, and its followers would hear nothing.
constexpr std::size_t unlistedLooksAtOnce = 8;
/// ... and one that did not answer: within the time for which it is suspected.
constexpr duration silentLookPeriod(4000);

// What has crashed says nothing any more: an entry that was changed after its replica was found silent shows that it lives. It has stopped
// listening, or will soon, and still finishes requests: taken for dead, its members would be ordered into a second group. An entry that is
// gone shows nothing.
bool hasSpokenSince(const replica_directory &directory, const instance_id &id)
{
    const auto found = directory.replicas.find(id);
    return found != directory.replicas.end() && saysItLeaves(found->second);
}

bool isOver(const suspicion &suspected, const replica_directory &directory, const instance_id &id, instant now)
{
    const auto found = directory.replicas.find(id);
    return suspected.until <= now || found == directory.replicas.end() || isAnotherLife(found->second.life, suspected.life);
}

} // namespace

silence_report reportSilence(silent_replicas &silent, const replica_directory &directory, instant now)
{
    std::erase_if(silent.lastAnswered, [&](const auto &entry) { return !directory.replicas.contains(entry.first); });
    std::erase_if(silent.suspected, [&](const auto &entry) { return isOver(entry.second, directory, entry.first, now); });
    std::erase_if(silent.notLeaving,
                  [&](const instance_id &id) { return !silent.suspected.contains(id) || hasSpokenSince(directory, id); });
    silence_report report;
    for (const auto &[id, suspected] : silent.suspected) {
        report.suspects.insert(id);
    }
    report.notLeaving = silent.notLeaving;
    return report;
}

std::vector<served_replica> unlistedToLookAt(silent_replicas &silent, const replica_directory &directory, instant now)
{
    std::erase_if(silent.lastLooks, [&](const auto &entry) { return !directory.replicas.contains(entry.first); });
    if (now < silent.nextUnlistedLooks) {
        return {};
    }
    std::vector<std::pair<instant, const served_replica *>> due;
    for (const auto &[id, replica] : directory.replicas) {
        const auto last = silent.lastLooks[id];
        const auto period = silent.suspected.contains(id) ? silentLookPeriod : unlistedLookPeriod;
        if (replica.isUnlisted && now - last >= period) {
            due.emplace_back(last, &replica);
        }
    }
    // Those first that were looked at longest ago.
    std::stable_sort(due.begin(), due.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    due.resize(std::min(due.size(), unlistedLooksAtOnce));
    std::vector<served_replica> looked;
    for (const auto &[last, replica] : due) {
        silent.lastLooks[replica->id] = now;
        looked.push_back(*replica);
    }
    if (!looked.empty()) {
        silent.nextUnlistedLooks = now + lookTimeout;
    }
    return looked;
}

std::vector<served_replica>
membersToLookAt(silent_replicas &silent, const replica_directory &directory, const instance_id &head, instant now)
{
    std::vector<served_replica> looked;
    const auto found = directory.replicas.find(head);
    if (found == directory.replicas.end() || !found->second.membership) {
        return looked;
    }
    for (const auto &[id, replica] : directory.replicas) {
        const bool isMember = replica.membership && replica.membership->group == found->second.membership->group;
        if (!isMember || silent.suspected.contains(id)) {
            continue;
        }
        auto &last = silent.lastLooks[id];
        if (now - last >= lookTimeout * 2) {
            last = now;
            looked.push_back(replica);
        }
    }
    return looked;
}

bool noteLook(silent_replicas &silent, const instance_id &replica, const direct_look &look)
{
    const auto known = silent.suspected.find(replica);
    const bool isSuspected = known != silent.suspected.end();
    if (isSuspected && known->second.began > look.began) {
        return false;
    }
    auto &answered = silent.lastAnswered[replica];
    if (look.hasAnswered) {
        answered = std::max(answered, look.began);
        silent.suspected.erase(replica);
        silent.notLeaving.erase(replica);
        return false;
    }
    if (answered > look.began) {
        return false;
    }
    const bool isNew = !isSuspected || isAnotherLife(known->second.life, look.life);
    silent.suspected[replica] = {look.began, look.began + suspicionTime, look.life};
    return isNew;
}

std::optional<instance_id> headOfGroup(const replica_directory &directory, const served_replica &replica)
{
    for (const auto &[id, other] : directory.replicas) {
        const bool isHead = replica.membership && other.membership && other.membership->group == replica.membership->group
            && other.membership->formed == replica.membership->formed && other.membership->rank == 0;
        if (isHead) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace vetchpost
