// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstdint>
#include <vector>

namespace vetchpost::bench {

/// The requests that one organisation sends.
struct offered_load
{
    int priority = 0;
    double weight = 1;
    double requestsPerSecond = 0;
};

struct model_options
{
    int replicas = 32;
    /// Requests that one replica processes concurrently.
    int slots = 16;
    duration tokenGap{50};
    int tokens = 60;
    duration prefillMiss{300};
    duration prefillHit{50};
    /// Capacity of one replica's prefix cache, in prompt prefixes.
    std::size_t cachedPrefixes = 40;
    int prefixes = 600;
    double prefixSkew = 1.0;
    /// Index of the replica that takes five times as long as the others; -1 for none.
    int slowReplica = -1;
    duration reportLag{1000};
    duration deadline{5000};
    duration length{60000};
    std::vector<offered_load> loads;
    /// Simulates the baseline gateway: each request goes at once to a random replica, without a queue in the gateway, and is sent again
    /// up to three times when its deadline passes without a first token.
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
    /// Returns the 95th percentile of the first-token times in milliseconds, of the load with index \a load or of all loads if it is -1.
    /// Only requests that got their first token in time count; returns 0 if there are none.
    double firstTokenP95(int load = -1) const;
};

/// Returns the maximum throughput of all replicas together, in requests per second.
double capacityOf(const model_options &options);
/// Simulates the daemon's admission, queueing and routing decisions (or the baseline gateway) against model replicas in virtual time.
model_result runRequests(const model_options &options);

} // namespace vetchpost::bench
