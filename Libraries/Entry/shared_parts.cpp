// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/shared_parts.h"

#include "Libraries/Base/event_log.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace vetchpost {

namespace {

constexpr event_log crashLog("crash");
/// How long each daemon in turn may try a part whose refusal has lasted for its time: long enough for an answer to come, or the replica's
/// end to be known everywhere.
constexpr duration trialTime(5000);
/// Identities of parts that are remembered, so that they are computed once.
constexpr std::size_t maxIdentities = 4096;

std::string textOf(const part_refusal &refusal)
{
    std::vector<std::string> parts;
    parts.reserve(refusal.parts.size());
    for (const auto &part : refusal.parts) {
        parts.push_back(part.value());
    }
    return fmt::format("{}", fmt::join(parts, " "));
}

bool isSameRefusal(const part_refusal &one, const part_refusal &other)
{
    return one.model == other.model && one.parts == other.parts;
}

} // namespace

struct shared_parts::private_data
{
    const std::function<std::optional<identity_key>()> key;
    const std::function<daemon_turn()> turn;
    const std::function<void(const std::set<replica_end> &)> didChange;
    mutable std::mutex mutex;
    part_suspects table;
    table_sync<part_suspects> sync;
    part_history history;
    /// The parts that were answered here, by identity, for those that may be suspected; filled as parts are asked for.
    std::unordered_map<std::string, part_identity> identities;
    instant lastTrial;
    std::atomic<bool> hasSuspects = false;
    counter ends;
    counter refusals;
    gauge refusedNow;

    private_data(std::function<std::optional<identity_key>()> keySource,
                 std::function<daemon_turn()> turnSource,
                 std::function<void(const std::set<replica_end> &)> changeListener,
                 metrics &counters)
        : key(std::move(keySource))
        , turn(std::move(turnSource))
        , didChange(std::move(changeListener))
        , ends(counters.addCounter("vetchpost_part_ends_total", "Lost attempts whose replica's end speaks against a part of their prompt."))
        , refusals(counters.addCounter("vetchpost_crashing_parts_total", "Parts of prompts that this daemon learned to refuse."))
        , refusedNow(counters.addGauge("vetchpost_crashing_parts_refused", "Parts of prompts that are refused now, since replicas ended."))
    {
    }

    /// Returns the identity of a part; nothing while the key is unknown. Requires the mutex to be held.
    std::optional<part_identity> identify(const prompt_part &part)
    {
        const auto known = identities.find(part.value());
        if (known != identities.end()) {
            return known->second;
        }
        const auto digestKey = key();
        if (!digestKey) {
            return std::nullopt;
        }
        if (identities.size() >= maxIdentities) {
            identities.clear();
        }
        return identities.emplace(part.value(), identityOf(*digestKey, part)).first->second;
    }

    /// How much the end of the replica at which the attempt was lost would speak against the part. Requires the mutex to be held.
    int weightOfEnd(const lost_attempt &lost, const prompt_part &part) const
    {
        const auto answered = lastAnswerBegan(history, lost.parts.model, part, lost.at);
        return weightOfLoss(lost.stage, answered ? std::optional(lost.at - *answered) : std::nullopt);
    }

    /// Calls \a make, which changes the table, decides anew what is refused, and logs and counts what has changed, with the reason \a why.
    template <class Change>
    auto change(std::string_view why, const Change &make)
    {
        std::optional<std::set<replica_end>> explained;
        auto result = [&] {
            const std::lock_guard lock(mutex);
            const auto before = table.refusals;
            const auto explainedBefore = table.explained;
            auto made = make();
            assess(table);
            log(before, why);
            hasSuspects = !table.suspects.empty();
            if (explainedBefore != table.explained) {
                explained = table.explained;
            }
            return made;
        }();
        if (explained) {
            didChange(*explained);
        }
        return result;
    }

    void log(const std::vector<part_refusal> &before, std::string_view why)
    {
        const auto isIn = [](const std::vector<part_refusal> &list, const part_refusal &refusal) {
            return std::any_of(list.begin(), list.end(), [&](const part_refusal &other) { return isSameRefusal(refusal, other); });
        };
        for (const auto &refusal : table.refusals) {
            if (!isIn(before, refusal)) {
                refusals.increment();
                const part_key any{refusal.model, *refusal.parts.begin()};
                crashLog.writeEssential("part_refused",
                                        {{"model", refusal.model.value()},
                                         {"parts", textOf(refusal)},
                                         {"ends", table.suspects.at(any).ends.size()},
                                         {"weight", weightOf(table.suspects.at(any))},
                                         {"why", why}});
            }
        }
        for (const auto &refusal : before) {
            if (!isIn(table.refusals, refusal)) {
                crashLog.writeEssential("part_allowed", {{"model", refusal.model.value()}, {"parts", textOf(refusal)}, {"why", why}});
            }
        }
        refusedNow.set(static_cast<double>(table.refusals.size()));
    }

    /// Whether it is this daemon's turn to try parts whose refusal ended at \a endedAt, and it has not tried any in this turn. Requires the
    /// mutex to be held.
    bool mayTry(instant endedAt, instant now) const
    {
        const auto own = turn();
        const auto number = static_cast<std::size_t>((now - endedAt) / trialTime);
        return number % std::max<std::size_t>(1, own.daemons) == own.rank && now - lastTrial >= trialTime;
    }
};

shared_parts::shared_parts(std::function<std::optional<identity_key>()> key,
                           std::function<daemon_turn()> turn,
                           std::function<void(const std::set<replica_end> &)> didChange,
                           metrics &counters)
    : d(std::make_unique<private_data>(std::move(key), std::move(turn), std::move(didChange), counters))
{
}

shared_parts::~shared_parts() = default;

std::optional<duration> shared_parts::refusedFor(const request_parts &parts)
{
    if (!d->hasSuspects || parts.shared.empty()) {
        return std::nullopt;
    }
    const std::lock_guard lock(d->mutex);
    if (d->table.refusals.empty()) {
        return std::nullopt;
    }
    const auto now = monotonicNow();
    std::set<part_identity> identities;
    std::set<part_identity> sound;
    for (const auto &part : parts.shared) {
        if (const auto identity = d->identify(part)) {
            identities.insert(*identity);
            if (lastAnswerBegan(d->history, parts.model, part, now)) {
                sound.insert(*identity);
            }
        }
    }
    const auto isSound = [&](const part_identity &part) { return sound.contains(part); };
    if (const auto left = vetchpost::refusedFor(d->table, parts.model, identities, isSound, now)) {
        return left;
    }
    // Refused for its time: the refusal has expired, but nothing shows that the part is sound.
    const auto expired = vetchpost::refusedFor(d->table, parts.model, identities, isSound, now - refusalTime);
    if (!expired) {
        return std::nullopt;
    }
    if (!d->mayTry(now - refusalTime + *expired, now)) {
        return trialTime;
    }
    d->lastTrial = now;
    return std::nullopt;
}

bool shared_parts::isFullEvidence(const lost_attempt &lost)
{
    const std::lock_guard lock(d->mutex);
    const auto &parts = lost.parts.shared;
    return std::any_of(
        parts.begin(), parts.end(), [&](const prompt_part &part) { return d->weightOfEnd(lost, part) >= fullEnd && d->identify(part); });
}

void shared_parts::recordReplicaEnd(const lost_attempt &lost, replica_end end)
{
    if (lost.parts.shared.empty()) {
        return;
    }
    d->change("a replica ended under it here", [&] {
        expireEntries(d->table, monotonicNow());
        for (const auto &part : lost.parts.shared) {
            const auto weight = d->weightOfEnd(lost, part);
            const auto identity = weight > 0 ? d->identify(part) : std::nullopt;
            if (identity) {
                d->ends.increment();
                recordPartEnd(d->table, {lost.parts.model, *identity}, end, {weight, lost.at, lost.request});
            }
        }
        return true;
    });
}

// Most answers concern no suspect, and must not cost a decision on all of them.
void shared_parts::recordAnswer(const request_parts &parts, instant begunAt)
{
    if (parts.shared.empty()) {
        return;
    }
    std::vector<part_key> suspected;
    {
        const std::lock_guard lock(d->mutex);
        for (const auto &part : parts.shared) {
            recordPartAnswer(d->history, parts.model, part, begunAt, monotonicNow());
            const auto identity = d->table.suspects.empty() ? std::nullopt : d->identify(part);
            if (identity && isSuspected(d->table, {parts.model, *identity})) {
                suspected.push_back({parts.model, *identity});
            }
        }
    }
    if (!suspected.empty()) {
        d->change("it was answered whole here", [&] {
            std::for_each(suspected.begin(), suspected.end(), [&](const part_key &key) { clearPart(d->table, key, begunAt); });
            return true;
        });
    }
}

bool shared_parts::allow(const part_identity &part)
{
    return d->change("an operator allows it", [&] { return allowPart(d->table, part); });
}

std::vector<part_report> shared_parts::refused() const
{
    const std::lock_guard lock(d->mutex);
    const auto now = monotonicNow();
    std::vector<part_report> reports;
    for (const auto &refusal : d->table.refusals) {
        for (const auto &part : refusal.parts) {
            const part_key refusedKey{refusal.model, part};
            reports.push_back(makeReport(refusedKey, d->table.suspects.at(refusedKey), now));
        }
    }
    return reports;
}

void shared_parts::mergePersisted(const std::vector<part_report> &reports)
{
    d->change("the key-value service keeps it", [&] {
        const auto now = monotonicNow();
        for (const auto &persisted : reports) {
            mergeReport(d->table, persisted, now);
        }
        expireEntries(d->table, now);
        return true;
    });
}

std::vector<feed_datagram> shared_parts::dueBatches(const std::optional<endpoint> &source, const std::vector<endpoint> &followers)
{
    const std::lock_guard lock(d->mutex);
    return collectDueBatches(d->sync, d->table, source, followers, monotonicNow());
}

feed_datagram shared_parts::receiveBatch(const part_batch &batch, const endpoint &from)
{
    return d->change("another daemon tells of it", [&] { return applyBatch(d->sync, d->table, batch, from, monotonicNow()); });
}

void shared_parts::receiveAck(const part_ack &ack, const endpoint &from)
{
    const std::lock_guard lock(d->mutex);
    applyAck(d->sync, ack, from);
}

} // namespace vetchpost
