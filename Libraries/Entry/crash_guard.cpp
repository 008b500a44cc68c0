// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_guard.h"

#include "Libraries/Entry/crash_record.h"

namespace vetchpost {

struct crash_guard::private_data
{
    replica_end_check endCheck;
    crash_record record;

    private_data(key_value_service &keyValue, const entry_dialect &dialect, peer_feed &feed)
        : endCheck(dialect)
        , record(keyValue,
                 {[&feed] { return feed.isSource(); },
                  [&feed] { return feed.isSourceHeard(); },
                  [](const std::vector<crash_evidence> & /*read*/) {},
                  [] { return std::vector<crash_evidence>(); }})
    {
    }
};

crash_guard::crash_guard(key_value_service &keyValue, const entry_dialect &dialect, peer_feed &feed)
    : d(std::make_unique<private_data>(keyValue, dialect, feed))
{
}

crash_guard::~crash_guard() = default;

void crash_guard::start()
{
    d->record.start();
}

void crash_guard::stop()
{
    d->record.stop();
}

std::optional<request_identity> crash_guard::identify(const identifying_parts &parts) const
{
    const auto key = d->record.key();
    return key ? std::optional(identityOf(*key, parts)) : std::nullopt;
}

replica_end_finding crash_guard::checkLoss(const backend &target)
{
    return d->endCheck.ask(target);
}

} // namespace vetchpost
