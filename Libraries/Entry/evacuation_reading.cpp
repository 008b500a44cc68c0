// SPDX-License-Identifier: Apache-2.0
// The part of store_follower that keeps the evacuated data centres up to date: the source watches them in the service, a daemon without a
// current source lists them, and the others receive them from the source.
#include "Libraries/Entry/store_follower_data.h"

#include "Libraries/Base/json.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// How often a daemon whose set is current checks that it still is.
constexpr duration evacuationCheckPeriod(100);

} // namespace

void store_follower::private_data::followEvacuations()
{
    bool hasListed = false;
    for (;;) {
        const bool isSourceNow = isSource;
        hasListed = hasListed && isSourceNow;
        auto next = duration();
        if (mustListEvacuations(isSourceNow && !hasListed)) {
            const bool isListed = listEvacuations();
            hasListed = isSourceNow && isListed;
            next = isListed ? duration() : retryPause;
        } else if (isSourceNow) {
            next = watchEvacuations() ? duration() : retryPause;
        } else {
            next = evacuationCheckPeriod;
        }
        std::unique_lock lock(mutex);
        const bool wasSource = isSource;
        wake.wait_for(lock, next, [&] { return isStopping || (!wasSource && isSource); });
        if (isStopping) {
            return;
        }
    }
}

/// A new source lists before it watches, so that what it plans is based on a set that is not older than its term.
bool store_follower::private_data::mustListEvacuations(bool isNewSource) const
{
    const std::lock_guard lock(mutex);
    const auto &known = feed.evacuations;
    const bool areRewritten = keepEvacuationsUntil && monotonicNow() >= *keepEvacuationsUntil;
    if (!known.isKnown || isEvacuationListingDue || isNewSource || areRewritten) {
        return true;
    }
    if (isSource) {
        return false;
    }
    const auto limit = hasFollowers() ? evacuationTimes.relayReadAge : evacuationTimes.directReadAge;
    return !known.currentAt || monotonicNow() - *known.currentAt >= limit;
}

bool store_follower::private_data::listEvacuations()
{
    const auto asked = monotonicNow();
    reason why;
    auto listing = keyValue.list(dialect.evacuationPrefix(), read_freshness::current, why);
    recordServiceAnswer(listing.has_value(), why);
    if (!listing) {
        return false;
    }
    // The oldest entries stay if there are too many.
    std::stable_sort(
        listing->entries.begin(), listing->entries.end(), [](const auto &left, const auto &right) { return left.changed < right.changed; });
    evacuation_report report;
    report.revision = listing->upTo;
    for (const auto &entry : listing->entries) {
        const auto dataCentre = readEvacuation(entry);
        if (dataCentre && report.since.size() < maxEvacuations) {
            report.since.emplace(*dataCentre, calendarMilliseconds());
        } else if (dataCentre) {
            logUnreadableEvacuation(entry.key, "too many data centres are evacuated");
        }
    }
    bool hasChanged = false;
    {
        const std::lock_guard lock(mutex);
        isEvacuationListingDue = false;
        keepLostEvacuations(report, asked);
        hasChanged = applyReport(feed.evacuations, report, asked);
    }
    finishEvacuationChange(hasChanged);
    return true;
}

void store_follower::private_data::keepLostEvacuations(evacuation_report &report, instant asked)
{
    const auto &known = feed.evacuations;
    if (known.isKnown && report.revision.era() > known.report.revision.era()) {
        keepEvacuationsUntil = asked + lapsedGrace;
    }
    if (keepEvacuationsUntil && asked >= *keepEvacuationsUntil) {
        keepEvacuationsUntil.reset();
    }
    if (keepEvacuationsUntil) {
        report.since.insert(known.report.since.begin(), known.report.since.end());
    }
}

bool store_follower::private_data::watchEvacuations()
{
    store_revision after;
    {
        const std::lock_guard lock(mutex);
        after = feed.evacuations.report.revision;
    }
    const auto asked = monotonicNow();
    reason why;
    const auto result = keyValue.watch(dialect.evacuationPrefix(), after, evacuationTimes.sourceWatchWait, why);
    recordServiceAnswer(result.has_value(), why);
    if (!result || result->isHistoryLost) {
        const std::lock_guard lock(mutex);
        isEvacuationListingDue = isEvacuationListingDue || result.has_value();
        if (result) {
            storeLog.write("history_lost", {{"prefix", dialect.evacuationPrefix()}, {"after", after.number()}});
        }
        return result.has_value();
    }
    std::vector<data_centre_id> added;
    bool hasOther = false;
    for (const auto &entry : result->changes) {
        // An event without a value may be a removal or an empty value, which only a listing tells apart.
        const auto dataCentre = entry.value.empty() ? std::nullopt : readEvacuation(entry);
        hasOther = hasOther || !dataCentre;
        if (dataCentre) {
            added.push_back(*dataCentre);
        }
    }
    bool hasChanged = false;
    {
        const std::lock_guard lock(mutex);
        const bool isTooMany = feed.evacuations.report.since.size() + added.size() > maxEvacuations;
        isEvacuationListingDue = isEvacuationListingDue || hasOther || isTooMany;
        if (!isTooMany) {
            hasChanged = addEvacuations(feed.evacuations, added, result->upTo, asked, calendarMilliseconds());
        }
    }
    finishEvacuationChange(hasChanged);
    return true;
}

/// An entry whose value is not an object evacuates the data centre all the same: its key states what the operator wants.
std::optional<data_centre_id> store_follower::private_data::readEvacuation(const key_value_entry &entry)
{
    const auto name = entry.key.substr(std::min(entry.key.size(), dialect.evacuationPrefix().size()));
    const auto problem = nameProblem(name);
    if (!problem.empty()) {
        logUnreadableEvacuation(entry.key, problem);
        return std::nullopt;
    }
    const auto value = parseJson(entry.value);
    if (!value || !value->isObject()) {
        logUnreadableEvacuation(entry.key, "the value is not a JSON object; the data centre is evacuated all the same");
    }
    return data_centre_id(name);
}

/// Logs and counts an unreadable entry once for as long as it keeps its problem.
void store_follower::private_data::logUnreadableEvacuation(const std::string &key, const std::string &why)
{
    constexpr std::size_t maxLoggedKey = 200;
    {
        const std::lock_guard lock(mutex);
        if (unreadableEvacuations.size() >= maxUnreadableEvacuations) {
            unreadableEvacuations.clear();
        }
        if (!unreadableEvacuations.emplace(key, why).second) {
            return;
        }
    }
    undecodable.increment();
    storeLog.write("evacuation_unreadable", {{"key", key.substr(0, maxLoggedKey)}, {"why", why}});
}

bool store_follower::private_data::applyEvacuations(const feed_update &update, std::optional<instant> asked)
{
    if (!areEvacuationsOn || !update.evacuations) {
        return false;
    }
    const auto currentAt = asked && update.evacuationsAge ? std::optional(*asked - *update.evacuationsAge) : std::nullopt;
    const std::lock_guard lock(mutex);
    return applyReport(feed.evacuations, *update.evacuations, currentAt);
}

void store_follower::private_data::finishEvacuationChange(bool hasChanged)
{
    if (hasChanged) {
        logEvacuations();
        didChange();
    }
}

/// Logs the evacuations that began or ended since the last call. Waits for the first listing of the replicas, without which an unknown name
/// cannot be told.
void store_follower::private_data::logEvacuations()
{
    std::vector<std::pair<evacuation_change, std::int64_t>> changes;
    {
        const std::lock_guard lock(mutex);
        if (!followedSince) {
            return;
        }
        const auto present = vetchpost::evacuatedDataCentres(feed.evacuations);
        for (const auto &change : changesSince(loggedEvacuations, present)) {
            const auto &replicas = published->replicas;
            changes.emplace_back(change, std::count_if(replicas.begin(), replicas.end(), [&](const auto &entry) {
                                     return entry.second.dataCentre == change.dataCentre;
                                 }));
        }
        for (const auto &[change, replicas] : changes) {
            if (!change.hasBegun) {
                loggedEvacuations.erase(change.dataCentre);
            } else if (replicas > 0) {
                loggedEvacuations.insert(change.dataCentre);
            }
        }
    }
    for (const auto &[change, replicas] : changes) {
        if (!change.hasBegun) {
            storeLog.write("evacuation_ended", {{"data_centre", change.dataCentre.value()}, {"replicas", replicas}});
        } else if (replicas > 0) {
            storeLog.write("evacuation_began", {{"data_centre", change.dataCentre.value()}, {"replicas", replicas}});
        } else {
            logUnreadableEvacuation(dialect.evacuationPrefix() + change.dataCentre.value(), "no replica is in this data centre");
        }
    }
}

void store_follower::enableEvacuations(duration bound)
{
    d->evacuationTimes = evacuationTiming(bound);
    d->areEvacuationsOn = bound.count() > 0;
}

std::optional<std::set<data_centre_id>> store_follower::evacuatedDataCentres() const
{
    const std::lock_guard lock(d->mutex);
    if (d->areEvacuationsOn && !d->feed.evacuations.isKnown) {
        return std::nullopt;
    }
    return vetchpost::evacuatedDataCentres(d->feed.evacuations);
}

evacuation_set store_follower::evacuations() const
{
    const std::lock_guard lock(d->mutex);
    return d->feed.evacuations;
}

bool store_follower::areEvacuationsKnownSince(instant time) const
{
    const std::lock_guard lock(d->mutex);
    const auto &currentAt = d->feed.evacuations.currentAt;
    return !d->areEvacuationsOn || (currentAt && *currentAt >= time);
}

std::vector<feed_datagram> store_follower::pendingEvacuationPushes()
{
    const std::lock_guard lock(d->mutex);
    return evacuationPushes(d->feed, monotonicNow());
}

} // namespace vetchpost
