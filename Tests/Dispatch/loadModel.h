// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_dispatcher.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

/// Callers and groups of one model in virtual time, for slot dispatch and for turn-based selection with load shedding.
namespace vetchpost::test {

struct load_options
{
    bool isDispatched = true;
    int groups = 56;
    double requestsPerSecond = 537;
    duration length{20000};
    /// Short streams arrive burstFactor times as often between these times.
    duration burstFrom{6000};
    duration burstUntil{10000};
    double burstFactor = 1.8;
    /// The share of the load of the first organisation; the others share the rest evenly.
    double firstShare = 0.1;
    /// The share of callers that come back 20 ms after a refusal, whatever they are told, up to 30 times.
    double hastyShare = 0;
    double lostReleases = 0;
    /// When the dispatcher loses its state; none if zero.
    duration restartAt{};
    /// The factor on the times of every fourth group, which the description does not give.
    double slowFactor = 1;
    unsigned seed = 1;
};

struct refusal_record
{
    instant at;
    /// The time from the request to the refusal.
    duration after{};
    duration told{};
    /// How often the request had been sent to a group, which rejected it.
    int sent = 0;
};

/// One caller, with all its requests.
struct caller
{
    int priority = 0;
    int organisation = 0;
    int promptTokens = 0;
    int answerTokens = 0;
    bool isHasty = false;
    instant arrived;
    /// When the last of its requests arrived.
    instant asked;
    int sent = 0;
    std::vector<refusal_record> refusals;
    std::vector<instance_id> tried;
    /// The time from the last request to its first event; negative if there was none.
    duration firstEvent{-1};

    bool isShort() const
    {
        return priority == 0;
    }
    bool isInTime() const;
    bool isLate() const;
};

struct load_result
{
    std::vector<caller> callers;
    int rejections = 0;
    double utilisation = 0;
};

engine_description loadEngine();
duration objectiveOf(int priority);
load_result runLoad(const load_options &options);
/// The share of the callers of one kind to which something applies; -1 if there is no such caller.
double shareOf(const load_result &result, const std::function<bool(const caller &)> &kind, const std::function<bool(const caller &)> &what);

} // namespace vetchpost::test
