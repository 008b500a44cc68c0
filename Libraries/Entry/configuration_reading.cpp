// SPDX-License-Identifier: Apache-2.0
// The part of store_follower that keeps the configuration up to date: it reads the service, or the source confirms that it is current.
#include "Libraries/Entry/store_follower_data.h"

namespace vetchpost {

namespace {

/// How often the configuration is read before there is one. Stale reads do, which cost a tenth of current ones.
constexpr duration firstConfigurationPeriod(250);

} // namespace

void store_follower::private_data::followConfiguration()
{
    bool isKnown = false;
    do {
        if (isConfigurationReadDue()) {
            isKnown = readConfiguration(isKnown) || isKnown;
        }
    } while (waitBeforeConfigurationRead(isKnown));
}

bool store_follower::private_data::isConfigurationReadDue()
{
    const std::lock_guard lock(mutex);
    const bool isRequested = std::exchange(mustReadConfiguration, false);
    const bool isCurrent = currentAt && monotonicNow() - *currentAt < maximumConfigurationAge();
    const bool doesSourceHaveNone = !table && sourceCurrentAt && monotonicNow() - *sourceCurrentAt < timing.directWatchDelay;
    return isSource || isRequested || !(isCurrent || doesSourceHaveNone);
}

bool store_follower::private_data::waitBeforeConfigurationRead(bool isKnown)
{
    std::unique_lock lock(mutex);
    const auto now = monotonicNow();
    auto until = now + firstConfigurationPeriod;
    if (isKnown && isSource) {
        until = now + timing.sourceReadPeriod;
    } else if (isKnown && currentAt) {
        until = std::max(now + retryPause, *currentAt + maximumConfigurationAge());
    }
    wake.wait_for(lock, until - now, [this] { return isStopping || mustReadConfiguration; });
    return !isStopping;
}

void store_follower::private_data::recordConfigurationRead(key_revision found, instant asked)
{
    const std::lock_guard lock(mutex);
    feed.configuration = std::max(feed.configuration, found);
    feed.configurationCurrentAt = asked;
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
            currentAt = std::max(currentAt.value_or(asked), asked);
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
        currentAt = asked;
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
        sourceCurrentAt = std::max(sourceCurrentAt.value_or(at), at);
        if (configuration >= feed.configuration) {
            feed.configuration = configuration;
            feed.configurationCurrentAt = std::max(feed.configurationCurrentAt.value_or(at), at);
        }
        if (configuration == configurationRevision && table) {
            currentAt = std::max(currentAt.value_or(at), at);
        }
        if (configuration <= std::max(configurationRevision, readConfigurationRevision)) {
            return;
        }
        mustReadConfiguration = true;
    }
    wake.notify_all();
}

} // namespace vetchpost
