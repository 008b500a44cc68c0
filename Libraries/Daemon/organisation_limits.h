// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Requests/limit_split.h"

#include <map>
#include <mutex>

namespace vetchpost {

/// Holds each organisation to its tokens a second: this daemon's part of the limit, split by what each daemon is asked for.
class organisation_limits
{
public:
    explicit organisation_limits(cluster_state &cluster);

    /// Takes tokens out of the organisation's limit; false where this second's are used up.
    bool take(const organisation &organisation, double tokens);

private:
    struct organisation_use
    {
        token_bucket bucket;
        double asked = 0;
        instant since;
        double askedPerSecond = 0;
    };

    void noteDemand(const organisation &organisation, organisation_use &use, double tokens, instant now);

    cluster_state &m_cluster;
    std::mutex m_mutex;
    std::map<organisation_id, organisation_use> m_uses;
};

} // namespace vetchpost
