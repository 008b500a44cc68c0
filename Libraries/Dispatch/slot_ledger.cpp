// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_ledger.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Assumed times of a request if the engine's description does not give them, in milliseconds.
constexpr double assumedFirstEventMs = 100;
constexpr double assumedHoldMs = 1000;
/// Additional time to a group in another data centre, in milliseconds; equal groups are preferred near the caller.
constexpr double remoteMs = 5;
/// The share of slots of an unknown group that is presumed to be taken by requests which another dispatcher granted. A group with more
/// rejects a request, which tells the true number; a larger share would refuse requests that could be served.
constexpr double presumedBusyShare = 0.7;
/// How long a group is avoided that rejected a request, doubled for each further rejection. The group was full, and a slot becomes free
/// within this time.
constexpr duration firstRejectionAvoidance(60);
constexpr int mostRejectionDoublings = 5;
/// How long a group is avoided that was silent or lost a connection: a stalled or terminated head is detected within this time.
constexpr duration lossAvoidance(3000);
/// A grant without a release ends at this multiple of its expected time.
constexpr int expiryMultiple = 3;
constexpr duration shortestExpiry(1000);
constexpr duration expirySearchInterval(20);
/// The step by which the observed slowness approaches the median ratio, multiplied by the number of successive steps in one direction. A
/// group that is three times slower than described is known as such after about fifteen requests, which is one set of slots; a group as
/// described varies by a few percent.
constexpr double slownessStep = 0.01;
constexpr int mostSlownessSteps = 15;
constexpr double leastSlowness = 0.2;
constexpr double mostSlowness = 20;
/// Weight of one request in the smoothed time for which a slot is held.
constexpr double newestHoldWeight = 0.02;
constexpr double millisecondsPerSecond = 1000;

duration millisecondsOf(double value)
{
    constexpr double longest = 1e9;
    return duration(static_cast<std::int64_t>(std::clamp(value, 0.0, longest)));
}

double hiddenAt(const model_ledger &model, const group_ledger &group, instant now)
{
    const auto age = static_cast<double>((now - group.hiddenAt).count());
    return group.hidden <= 0 ? 0 : group.hidden * std::exp(-std::max(0.0, age) / std::max(1.0, model.holdMs));
}

double passMs(const slot_ledger &ledger, const group_ledger &group, double running)
{
    return group.group.pace * group.slowness * (ledger.engine.stepMs + ledger.engine.perSequenceMs * running);
}

double readMs(const slot_ledger &ledger, const group_ledger &group, double tokens)
{
    return ledger.engine.readPerSecond > 0
        ? group.group.pace * group.slowness * tokens * millisecondsPerSecond / ledger.engine.readPerSecond
        : 0;
}

double chunksOf(const slot_ledger &ledger, const slot_request &request)
{
    return ledger.engine.chunkTokens > 0 ? std::ceil(static_cast<double>(request.promptTokens) / ledger.engine.chunkTokens) : 1;
}

double pathMs(const slot_ledger &ledger, const group_ledger &group, const slot_request &request)
{
    double delay = group.group.dataCentre == request.dataCentre ? 0 : remoteMs;
    for (const auto &entry : ledger.engine.delays) {
        const bool isFrom = entry.from.isEmpty() || entry.from == request.dataCentre;
        const bool isTo = entry.targetVersion.empty() || entry.targetVersion == group.group.version;
        delay += isFrom && isTo ? static_cast<double>(entry.delay.count()) : 0;
    }
    return delay;
}

/// The described time for which a usual request holds a slot of a group that is mostly busy.
double usualHoldMs(const slot_ledger &ledger, const dispatch_group &group)
{
    if (ledger.engine.stepMs <= 0 || ledger.engine.usualAnswerTokens <= 0) {
        return assumedHoldMs;
    }
    slot_request usual;
    usual.promptTokens = ledger.engine.usualPromptTokens;
    usual.expectedTokens = ledger.engine.usualAnswerTokens;
    group_ledger busy;
    busy.group = group;
    return forecastOf(ledger, busy, usual, presumedBusyShare * group.slots, instant()).endMs;
}

bool isCold(const slot_ledger &ledger, const group_ledger &group, instant now)
{
    return ledger.coldPerSecond > 0 && now < group.coldUntil;
}

/// Returns the time from which on a group counts as avoided. If all are avoided, none is: no request could be served otherwise.
instant avoidanceStart(const model_ledger &model, instant now)
{
    const bool areAllAvoided
        = std::all_of(model.groups.begin(), model.groups.end(), [&](const group_ledger &group) { return now < group.avoidedUntil; });
    return areAllAvoided ? instant::max() : now;
}

/// Returns the free slots of a group, or none while it must not be sent a request.
int openSlotsOf(const slot_ledger &ledger, const model_ledger &model, const group_ledger &group, instant avoidedFrom, instant now)
{
    const bool isPaced = isCold(ledger, group, now) && now < group.nextColdGrant;
    return avoidedFrom < group.avoidedUntil || isPaced ? 0 : group.group.slots - runningAt(model, group, now);
}

group_ledger *findGroup(slot_ledger &ledger, const slot_grant &grant)
{
    const auto model = ledger.models.find(grant.model);
    if (model == ledger.models.end()) {
        return nullptr;
    }
    auto &groups = model->second.groups;
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const group_ledger &group) {
        return group.group.head == grant.head && group.group.incarnation == grant.incarnation;
    });
    return found == groups.end() ? nullptr : &*found;
}

/// Slot pacing at a cold group: half of the rate, because requests that are placed without the dispatcher use the other half.
duration coldInterval(const slot_ledger &ledger)
{
    return duration(static_cast<std::int64_t>(std::ceil(2 * millisecondsPerSecond / ledger.coldPerSecond)));
}

void recordEnd(model_ledger &model, group_ledger &group, const slot_grant &grant, instant now)
{
    const auto took = static_cast<double>((now - grant.grantedAt).count());
    model.holdMs += newestHoldWeight * (took - model.holdMs);
    group.rejections = 0;
    // Expected tokens are right in the median only, so the median of the ratio is followed instead of its mean.
    const bool isSlower = took > group.slowness * static_cast<double>(grant.described.count());
    const auto run = isSlower ? std::max(0, group.slowerRun) + 1 : std::min(0, group.slowerRun) - 1;
    group.slowerRun = std::clamp(run, -mostSlownessSteps, mostSlownessSteps);
    group.slowness = std::clamp(group.slowness * std::exp(slownessStep * group.slowerRun), leastSlowness, mostSlowness);
}

void recordRejection(group_ledger &group, instant now)
{
    // The group is full. Whatever this dispatcher has not granted there was sent by others.
    group.hidden = std::max(0, group.group.slots - group.granted);
    group.hiddenAt = now;
    const auto doublings = std::min(group.rejections++, mostRejectionDoublings);
    group.avoidedUntil = std::max(group.avoidedUntil, now + firstRejectionAvoidance * (1 << doublings));
}

void recordLoss(group_ledger &group, instant now)
{
    // After the avoidance the group gets one request and then gradually more, because it may still be stalled or still run what it was
    // sent.
    group.avoidedUntil = now + lossAvoidance;
    group.hidden = std::max(0, group.group.slots - 1);
    group.hiddenAt = group.avoidedUntil;
}

} // namespace

slot_forecast forecastOf(const slot_ledger &ledger, const group_ledger &group, const slot_request &request, double others, instant now)
{
    const auto &engine = ledger.engine;
    const auto path = pathMs(ledger, group, request);
    if (engine.stepMs <= 0) {
        const auto factor = group.group.pace * group.slowness * (1 + others / std::max(1, group.group.slots));
        return {path + factor * assumedFirstEventMs, path + factor * assumedHoldMs};
    }
    const auto pass = passMs(ledger, group, others + 1);
    const auto backlog = static_cast<double>(std::max(duration(), group.readUntil - now).count());
    const auto first = path + backlog + readMs(ledger, group, request.promptTokens) + (chunksOf(ledger, request) + engine.stride) * pass;
    // Each of the others is replaced once in the time of a usual answer, and its successor's prompt is read between the passes.
    const auto tokens = std::max(0, request.expectedTokens - engine.stride);
    const auto replaced = engine.usualAnswerTokens > 0 ? others * tokens / engine.usualAnswerTokens : 0;
    return {first, first + tokens * pass + replaced * readMs(ledger, group, engine.usualPromptTokens)};
}

void replaceGroups(slot_ledger &ledger, const std::vector<dispatch_group> &groups, const engine_description &engine, instant now)
{
    ledger.engine = engine;
    std::size_t before = 0;
    for (const auto &[id, model] : ledger.models) {
        before += model.groups.size();
    }
    std::size_t kept = 0;
    std::map<model_id, model_ledger> next;
    for (const auto &group : groups) {
        auto &model = next[group.model];
        const auto old = ledger.models.find(group.model);
        if (model.groups.empty()) {
            model.holdMs = old == ledger.models.end() ? usualHoldMs(ledger, group) : old->second.holdMs;
        }
        slot_grant key{group.model, group.head, group.incarnation, {}, {}, {}};
        const auto *known = findGroup(ledger, key);
        group_ledger entry = known != nullptr ? *known : group_ledger();
        if (known != nullptr) {
            ++kept;
        } else {
            entry.hidden = presumedBusyShare * group.slots;
            entry.hiddenAt = now;
        }
        entry.group = group;
        if (group.coldLeft > duration()) {
            entry.coldUntil = std::max(entry.coldUntil, now + group.coldLeft);
        }
        model.groups.push_back(std::move(entry));
    }
    ledger.models = std::move(next);
    if (kept < before) {
        std::erase_if(ledger.grants, [&](const auto &grant) { return findGroup(ledger, grant.second) == nullptr; });
    }
}

void grantSlot(slot_ledger &ledger, group_ledger &group, const slot_request &request, const endpoint &asker, instant now)
{
    const auto &model = ledger.models.at(group.group.model);
    const auto expected = forecastOf(ledger, group, request, runningAt(model, group, now), now);
    const auto end = millisecondsOf(expiryMultiple * expected.endMs);
    const auto expires = now + std::min(std::max(duration(), request.timeLeft), std::max(shortestExpiry, end));
    ledger.grants[{asker, request.ticket}]
        = {group.group.model, group.group.head, group.group.incarnation, now, expires, millisecondsOf(expected.endMs / group.slowness)};
    ++group.granted;
    const auto pass = passMs(ledger, group, runningAt(model, group, now));
    const auto read = readMs(ledger, group, request.promptTokens) + chunksOf(ledger, request) * pass;
    group.readUntil = std::max(now, group.readUntil) + millisecondsOf(read);
    if (isCold(ledger, group, now)) {
        group.nextColdGrant = now + coldInterval(ledger);
    }
}

bool freeSlot(slot_ledger &ledger, const slot_ticket &ticket, slot_end end, instant now)
{
    const auto found = ledger.grants.find(ticket);
    if (found == ledger.grants.end()) {
        return false;
    }
    const auto grant = found->second;
    ledger.grants.erase(found);
    auto *group = findGroup(ledger, grant);
    if (group == nullptr) {
        return true;
    }
    --group->granted;
    switch (end) {
    case slot_end::done:
        recordEnd(ledger.models.at(grant.model), *group, grant, now);
        break;
    case slot_end::rejected:
        recordRejection(*group, now);
        break;
    case slot_end::silent:
    case slot_end::lost:
        recordLoss(*group, now);
        break;
    }
    return true;
}

void expireGrants(slot_ledger &ledger, instant now)
{
    if (now - ledger.expirySearchedAt < expirySearchInterval) {
        return;
    }
    ledger.expirySearchedAt = now;
    std::erase_if(ledger.grants, [&](const auto &entry) {
        if (now < entry.second.expiresAt) {
            return false;
        }
        if (auto *group = findGroup(ledger, entry.second); group != nullptr) {
            --group->granted;
            // Its release was lost, or its answer is much longer than expected.
            group->hidden = hiddenAt(ledger.models.at(entry.second.model), *group, now) + 1;
            group->hiddenAt = std::max(now, group->hiddenAt);
        }
        return true;
    });
}

int runningAt(const model_ledger &model, const group_ledger &group, instant now)
{
    return group.granted + static_cast<int>(std::lround(hiddenAt(model, group, now)));
}

group_ledger *bestGroup(slot_ledger &ledger, model_ledger &model, const slot_request &request, const slot_terms &terms, instant now)
{
    group_ledger *best = nullptr;
    double least = 0;
    int free = 0;
    const auto avoidedFrom = avoidanceStart(model, now);
    for (auto &group : model.groups) {
        const auto openSlots = openSlotsOf(ledger, model, group, avoidedFrom, now);
        if (openSlots <= 0) {
            continue;
        }
        free += openSlots;
        if (std::find(request.excluded.begin(), request.excluded.end(), group.group.head) != request.excluded.end()) {
            continue;
        }
        const auto expected = forecastOf(ledger, group, request, group.group.slots - openSlots, now);
        if (expected.firstEventMs <= terms.latestFirstMs && (best == nullptr || expected.endMs < least)) {
            best = &group;
            least = expected.endMs;
        }
    }
    return free > terms.sparedSlots ? best : nullptr;
}

bool hasOpenSlot(const slot_ledger &ledger, const model_ledger &model, instant now)
{
    const auto avoidedFrom = avoidanceStart(model, now);
    return std::any_of(model.groups.begin(), model.groups.end(), [&](const group_ledger &group) {
        return openSlotsOf(ledger, model, group, avoidedFrom, now) > 0;
    });
}

double firstEventAfterWait(const slot_ledger &ledger, const model_ledger &model, const slot_request &request, instant now)
{
    // The mean over the open groups: which of them has the next free slot is not known.
    double sum = 0;
    int groups = 0;
    const auto avoidedFrom = avoidanceStart(model, now);
    for (const auto &group : model.groups) {
        if (avoidedFrom < group.avoidedUntil) {
            continue;
        }
        // At a later time no granted prompt is left to be read.
        sum += forecastOf(ledger, group, request, group.group.slots - 1, std::max(now, group.readUntil)).firstEventMs;
        ++groups;
    }
    return groups > 0 ? sum / groups : assumedFirstEventMs;
}

double freedPerMs(const slot_ledger &ledger, const model_ledger &model, instant now)
{
    double rate = 0;
    const auto avoidedFrom = avoidanceStart(model, now);
    for (const auto &group : model.groups) {
        if (avoidedFrom < group.avoidedUntil) {
            continue;
        }
        const auto running = std::min(runningAt(model, group, now), group.group.slots);
        const auto freed = running / std::max(1.0, model.holdMs);
        rate += isCold(ledger, group, now) ? std::min(freed, 1.0 / static_cast<double>(coldInterval(ledger).count())) : freed;
    }
    return rate;
}

} // namespace vetchpost
