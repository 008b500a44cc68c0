// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Requests/limit_split.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// Rate limiter for the tokens per second of each organisation. An organisation's limit is split evenly between data centres, and between
/// the daemons of a data centre in proportion to the demand that each reports.
class organisation_limits
{
public:
    explicit organisation_limits(cluster_state &cluster);

    /// Consumes tokens of the organisation's limit. Returns false if this daemon's share is used up. Organisations without a limit always
    /// pass.
    bool consume(const organisation &organisation, double tokens);

private:
    /// Token bucket and measured demand of one organisation.
    struct organisation_usage
    {
        token_bucket bucket;
        double requestedTokens = 0;
        instant windowStart;
        double demandPerSecond = 0;
    };

    /// Adds to the organisation's demand; every two seconds also publishes this daemon's demand and computes its share of the limit anew.
    void updateShare(const organisation &organisation, organisation_usage &usage, double tokens, instant now);

    cluster_state &m_cluster;
    std::mutex m_mutex;
    std::map<organisation_id, organisation_usage> m_usages;
};

} // namespace vetchpost
