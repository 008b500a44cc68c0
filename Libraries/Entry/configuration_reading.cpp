// SPDX-License-Identifier: Apache-2.0
// How a store_follower keeps the configuration: read in the service, or told by the source to be current.
#include "Libraries/Entry/store_follower_data.h"

namespace vetchpost {

namespace {

/// Before the first configuration; these reads may be stale and cost a tenth.
constexpr duration firstConfigurationPeriod(250);

} // namespace

void store_follower::private_data::followConfiguration()
{
    bool isKnown = false;
    do {
        if (mustAskForConfiguration()) {
            isKnown = readConfiguration(isKnown) || isKnown;
        }
    } while (pauseOfConfiguration(isKnown));
}

bool store_follower::private_data::mustAskForConfiguration()
{
    const std::lock_guard lock(mutex);
    const bool isAsked = std::exchange(mustReadConfiguration, false);
    const bool isCurrent = currentAt && monotonicNow() - *currentAt < readingLimit();
    const bool isToldOfNone = !table && toldAt && monotonicNow() - *toldAt < timing.directWatchDelay;
    return isSource || isAsked || !(isCurrent || isToldOfNone);
}

bool store_follower::private_data::pauseOfConfiguration(bool isKnown)
{
    std::unique_lock lock(mutex);
    const auto now = monotonicNow();
    auto until = now + firstConfigurationPeriod;
    if (isKnown && isSource) {
        until = now + timing.sourceReadPeriod;
    } else if (isKnown && currentAt) {
        until = std::max(now + retryPause, *currentAt + readingLimit());
    }
    wake.wait_for(lock, until - now, [this] { return isStopping || mustReadConfiguration; });
    return !isStopping;
}

void store_follower::private_data::noteConfigurationRead(key_revision found, instant asked)
{
    const std::lock_guard lock(mutex);
    feed.configuration = std::max(feed.configuration, found);
    feed.configurationCurrentAt = asked;
}

bool store_follower::private_data::readConfiguration(bool isKnown)
{
    const auto asked = monotonicNow();
    reason why;
    // In a system that runs there is a configuration: to ask first whether there is brings a large one through the link twice.
    const auto freshness = isKnown || hasTraffic ? read_freshness::current : read_freshness::may_be_stale;
    const auto entry = keyValue.get(dialect.configurationKey(), freshness, why);
    noteAnswer(entry.has_value(), why);
    if (entry && (freshness == read_freshness::current || entry->changed == key_revision())) {
        noteConfigurationRead(entry->changed, asked);
    }
    if (!entry || entry->changed == key_revision()) {
        return false;
    }
    if (freshness == read_freshness::may_be_stale) {
        // A stale read says that there is one; only a current read says which.
        return readConfiguration(true);
    }
    return takeConfiguration(*entry, asked);
}

bool store_follower::private_data::takeConfiguration(const key_value_entry &entry, instant asked)
{
    {
        const std::lock_guard lock(mutex);
        if (entry.changed == configurationRevision) {
            currentAt = std::max(currentAt.value_or(asked), asked);
            return true;
        }
    }
    reason why;
    auto configuration = dialect.readConfiguration(entry.value, why);
    if (!configuration) {
        undecodable.increment();
        storeLog.write("configuration_unreadable", {{"revision", entry.changed.value()}, {"why", why.text}});
        return false;
    }
    auto next = std::make_shared<const route_table>(std::move(*configuration));
    {
        const std::lock_guard lock(mutex);
        if (table && next->configuration().version < table->configuration().version) {
            return true;
        }
        table = std::move(next);
        configurationRevision = entry.changed;
        currentAt = asked;
        storeLog.write("configuration_in_force",
                       {{"version", table->configuration().version},
                        {"revision", entry.changed.value()},
                        {"routes", table->configuration().routes.size()}});
    }
    didChange();
    return true;
}

void store_follower::private_data::noteTold(key_revision configuration, instant at)
{
    {
        const std::lock_guard lock(mutex);
        toldAt = std::max(toldAt.value_or(at), at);
        if (configuration >= feed.configuration) {
            feed.configuration = configuration;
            feed.configurationCurrentAt = std::max(feed.configurationCurrentAt.value_or(at), at);
        }
        if (configuration == configurationRevision && table) {
            currentAt = std::max(currentAt.value_or(at), at);
        }
        if (configuration <= configurationRevision) {
            return;
        }
        mustReadConfiguration = true;
    }
    wake.notify_all();
}

} // namespace vetchpost
