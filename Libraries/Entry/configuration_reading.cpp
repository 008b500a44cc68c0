// SPDX-License-Identifier: Apache-2.0
// The part of store_follower that keeps the configuration up to date: it reads the service, or the source confirms that it is current.
#include "Libraries/Entry/store_follower_data.h"
#include "Libraries/Platform/store_era_record.h"

namespace vetchpost {

namespace {

/// How often the configuration is read before there is one. Stale reads do, which cost a tenth of current ones.
constexpr duration firstConfigurationPeriod(250);
/// Holds the latest era that a coordinator has declared as settled. A copy of the service holds an earlier one.
constexpr auto settledEraKey = "vetchpost/settled-era";

} // namespace

void store_follower::private_data::followConfiguration()
{
    bool isKnown = false;
    do {
        // Before the configuration, which has to be read in a settled era to be confirmed by it.
        readSettledEra();
        if (isConfigurationReadDue()) {
            isKnown = readConfiguration(isKnown) || isKnown;
            declareSettledEra();
        }
    } while (waitBeforeConfigurationRead(isKnown));
}

bool store_follower::private_data::isConfigurationReadDue()
{
    const std::lock_guard lock(mutex);
    const bool isRequested = std::exchange(mustReadConfiguration, false);
    const auto now = monotonicNow();
    const auto next = nextConfigurationRead();
    const bool doesSourceHaveNone = !table && sourceCurrentAt && now - *sourceCurrentAt < timing.directWatchDelay;
    return isSource || isRequested || !((next && now < *next) || doesSourceHaveNone);
}

std::optional<instant> store_follower::private_data::nextConfigurationRead() const
{
    if (isAwaitingRewrite(confirmation, monotonicNow())) {
        // Reading more often would not confirm the configuration sooner.
        const auto last = std::max(currentAt, comparedAt);
        return last ? std::optional(std::min(*last + maximumConfigurationAge(), *rewriteDeadline(confirmation))) : std::nullopt;
    }
    return currentAt ? std::optional(*currentAt + maximumConfigurationAge()) : std::nullopt;
}

bool store_follower::private_data::waitBeforeConfigurationRead(bool isKnown)
{
    std::unique_lock lock(mutex);
    const auto now = monotonicNow();
    const auto next = nextConfigurationRead();
    auto until = now + firstConfigurationPeriod;
    if (isKnown && isSource) {
        until = now + timing.sourceReadPeriod;
        if (isAwaitingRewrite(confirmation, now)) {
            until = std::min(until, *rewriteDeadline(confirmation));
        }
    } else if (isKnown && next) {
        until = std::max(now + retryPause, *next);
    }
    if (!currentAt) {
        // A daemon that starts accepts no keys before the era is settled, which it learns by a small read.
        until = std::min(until, now + firstConfigurationPeriod);
    }
    wake.wait_for(lock, until - now, [this] { return isStopping || mustReadConfiguration; });
    return !isStopping;
}

void store_follower::private_data::readSettledEra()
{
    {
        const std::lock_guard lock(mutex);
        const bool isStarting = !currentAt && !confirmation.policy.isFirstStart;
        if (!isStarting && !isAwaitingRewrite(confirmation, monotonicNow())) {
            return;
        }
    }
    reason why;
    const auto entry = keyValue.get(settledEraKey, read_freshness::may_be_stale, why);
    recordServiceAnswer(entry.has_value(), why);
    if (entry) {
        const std::lock_guard lock(mutex);
        confirmation.settledIn = std::max(confirmation.settledIn, parseEra(entry->value).value_or(store_era()));
    }
}

void store_follower::private_data::declareSettledEra()
{
    store_era era;
    {
        const std::lock_guard lock(mutex);
        if (!isSource || !maySettle(confirmation, monotonicNow())) {
            return;
        }
        era = confirmation.restoration.era;
    }
    reason why;
    const auto entry = keyValue.get(settledEraKey, read_freshness::current, why);
    recordServiceAnswer(entry.has_value(), why);
    if (!entry) {
        return;
    }
    const bool isDeclared = parseEra(entry->value) == era;
    if (isDeclared
        || keyValue.compareAndSwap(settledEraKey, entry->changed, std::to_string(era.value())).outcome == swap_outcome::applied) {
        storeLog.write("era_settled", {{"era", era.value()}});
        const std::lock_guard lock(mutex);
        confirmation.settledIn = std::max(confirmation.settledIn, era);
    }
}

void store_follower::private_data::recordConfigurationRead(key_revision found, instant asked)
{
    const std::lock_guard lock(mutex);
    feed.configuration = std::max(feed.configuration, found);
    feed.configurationCurrentAt = asked;
}

void store_follower::private_data::recordComparison(key_revision revision, instant asked)
{
    comparedAt = std::max(comparedAt.value_or(asked), asked);
    if (isConclusive(confirmation, revision, asked)) {
        currentAt = std::max(currentAt.value_or(asked), asked);
        table->confirm(asked);
    }
}

bool store_follower::private_data::readConfiguration(bool isKnown)
{
    const auto asked = monotonicNow();
    reason why;
    // A running system has a configuration. To check first whether there is one would transfer a large configuration twice.
    const auto freshness = isKnown || hasTraffic ? read_freshness::current : read_freshness::may_be_stale;
    const auto entry = keyValue.get(dialect.configurationKey(), freshness, why);
    recordServiceAnswer(entry.has_value(), why);
    if (entry && (freshness == read_freshness::current || entry->changed == key_revision())) {
        recordConfigurationRead(entry->changed, asked);
    }
    if (!entry || entry->changed == key_revision()) {
        return false;
    }
    if (freshness == read_freshness::may_be_stale) {
        // A stale read shows that there is one, but only a current read returns the newest.
        return readConfiguration(true);
    }
    return applyConfiguration(*entry, asked);
}

bool store_follower::private_data::applyConfiguration(const key_value_entry &entry, instant asked)
{
    {
        const std::lock_guard lock(mutex);
        readConfigurationRevision = std::max(readConfigurationRevision, entry.changed);
        if (entry.changed == configurationRevision) {
            recordComparison(entry.changed, asked);
            return true;
        }
    }
    reason why;
    auto configuration = dialect.readConfiguration(entry.value, why);
    if (!configuration) {
        undecodable.increment();
        storeLog.write("configuration_unreadable", {{"revision", entry.changed.number()}, {"why", why.text}});
        return false;
    }
    auto next = std::make_shared<const route_table>(std::move(*configuration));
    {
        const std::lock_guard lock(mutex);
        if (table && next->configuration().version < table->configuration().version) {
            // The service came back from an older copy. The operator writes the newer version again.
            return true;
        }
        table = std::move(next);
        configurationRevision = entry.changed;
        recordVersion(confirmation, table->configuration().version, entry.changed);
        recordComparison(entry.changed, asked);
        storeLog.write("configuration_in_force",
                       {{"version", table->configuration().version},
                        {"revision", entry.changed.number()},
                        {"routes", table->configuration().routes.size()}});
    }
    didChange();
    return true;
}

void store_follower::private_data::recordSourceConfiguration(key_revision configuration, instant at)
{
    {
        const std::lock_guard lock(mutex);
        recordEra(configuration.era());
        sourceCurrentAt = std::max(sourceCurrentAt.value_or(at), at);
        if (isConclusive(confirmation, configuration, at)) {
            sourceConfirmedAt = std::max(sourceConfirmedAt.value_or(at), at);
        }
        if (configuration >= feed.configuration) {
            feed.configuration = configuration;
            feed.configurationCurrentAt = std::max(feed.configurationCurrentAt.value_or(at), at);
        }
        if (configuration == configurationRevision && table) {
            recordComparison(configuration, at);
        }
        if (configuration <= std::max(configurationRevision, readConfigurationRevision)) {
            return;
        }
        mustReadConfiguration = true;
    }
    wake.notify_all();
}

} // namespace vetchpost
