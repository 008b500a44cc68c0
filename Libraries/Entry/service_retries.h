// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Routing/served_configuration.h"
#include "Libraries/Settings/entry_settings.h"

#include <functional>
#include <memory>
#include <optional>

namespace vetchpost {

/// This daemon's parts of the retries that all daemons together may send to each service. Thread-safe.
class service_retries
{
public:
    /// \a daemons returns how many daemons share the retries; nothing if that is not known.
    service_retries(const entry_settings &settings, std::function<std::optional<counted_daemons>()> daemons, metrics &counters);
    ~service_retries();
    service_retries(const service_retries &) = delete;
    service_retries &operator=(const service_retries &) = delete;

    /// Adds the share of a new request.
    void recordFirstAttempt(const service_id &service);
    /// Consumes one retry. Returns false if the part is used up. With \a reservedShare, at least this part of its maximum has to be left
    /// afterwards.
    bool consume(const service_id &service, double reservedShare);
    /// Logs, at most once a second and for each service that needed retries since, how many were sent and denied.
    void logUse();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
