// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstdint>
#include <vector>

namespace vetchpost::bench {

/// One organisation's load.
struct offered_load
{
    int priority = 0;
    double weight = 1;
    double requestsPerSecond = 0;
};

struct model_options
{
    int replicas = 32;
    /// Requests that one replica generates for at a time.
    int slots = 16;
    duration tokenGap{50};
    int tokens = 60;
    duration prefillMiss{300};
    duration prefillHit{50};
    /// Prompt prefixes that one replica keeps.
    std::size_t cachedPrefixes = 40;
    int prefixes = 600;
    double prefixSkew = 1.0;
    /// This replica takes five times as long; -1 for none.
    int slowReplica = -1;
    duration reportLag{1000};
    duration deadline{5000};
    duration length{60000};
    std::vector<offered_load> loads;
    /// The baseline: any replica at once, no queue of its own, up to three blind retries.
    bool isNaive = false;
    std::uint64_t seed = 1;
};

struct load_result
{
    double offered = 0;
    double good = 0;
    double tokens = 0;
    std::vector<double> firstTokenMilliseconds;
};

struct model_result
{
    std::vector<load_result> loads;
    double dispatched = 0;
    double accepted = 0;
    double hits = 0;

    double good() const;
    /// The 95th percentile of the first-token times of those who got one in time.
    double firstTokenP95(int load = -1) const;
};

/// Requests a second that the replicas can serve at the most.
double capacityOf(const model_options &options);
/// Runs the daemon's decisions on requests against replicas in virtual time.
model_result runRequests(const model_options &options);

} // namespace vetchpost::bench
