// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/store_restoration.h"

#include <cstdint>
#include <optional>

namespace vetchpost {

/// Which daemons wait for what the service may have lost.
struct confirmation_policy
{
    /// Whether a configuration is confirmed only once the operator had time to write a newer one again.
    bool awaitsRewrite = false;
    /// Whether the whole system starts for the first time, so that the service cannot have lost anything of it.
    bool isFirstStart = true;
};

/// Whether the configuration in the key-value service is the newest that the operator has written. After the service has come back from an
/// older copy it may not be, until the operator has written again what was lost.
struct configuration_confirmation
{
    confirmation_policy policy;
    store_restoration restoration;
    /// The latest era that a coordinator has declared as settled.
    store_era settledIn;
    /// The latest era in which the operator is known to have written the configuration again.
    store_era rewrittenIn;
    /// The version that was found last, the revision at which it was first found, and whether it was found at that number alone.
    std::uint64_t version = 0;
    key_revision firstFound;
    bool isFoundOnce = true;
};

/// Records an era that the service has named, which may be an earlier one.
void recordEra(configuration_confirmation &confirmation, store_era era, instant now);
/// Records a version that the service holds at \a revision, and concludes from its revision whether it was written again.
void recordVersion(configuration_confirmation &confirmation, std::uint64_t version, key_revision revision);
/// Whether a coordinator may declare the era as settled: all that the service had lost has been written again, and orders of former
/// coordinators are no longer under way.
bool maySettle(const configuration_confirmation &confirmation, instant now);
/// Whether the operator may still have to write configurations again that the service has lost.
bool isAwaitingRewrite(const configuration_confirmation &confirmation, instant now);
/// Returns when the operator has had time to write lost configurations again; nothing if none can be lost.
std::optional<instant> rewriteDeadline(const configuration_confirmation &confirmation);
/// Whether a reading that began at \a asked and found \a revision shows which configuration is the newest.
bool isConclusive(const configuration_confirmation &confirmation, key_revision revision, instant asked);

} // namespace vetchpost
