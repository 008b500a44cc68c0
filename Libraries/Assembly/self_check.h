// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Routing/replica_directory.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

/// Determines whether this daemon is itself the cause when replicas do not answer it. A daemon whose link or processor is overloaded
/// reaches no replica; if it concluded that they had died it would close healthy groups one after the other.
namespace vetchpost {

/// A healthy replica answers a healthy daemon well within this time, even from another data centre.
constexpr duration referenceTimeout(100);
/// Number of reference replicas to probe, each in a domain of its own.
constexpr std::size_t maxReferenceReplicas = 3;
/// Number of reference replicas that must answer; one of the probed ones may itself be dead.
constexpr std::size_t minReferenceAnswers = 2;
/// A coordinator whose self-checks have failed for this time hands over. It is half of the time for which its successor would have to wait
/// for the lease to expire.
constexpr duration handOverDelay(1000);
/// After handing over, a daemon does not try to become coordinator again for this time.
constexpr duration handOverBackoff(5000);

/// Results of a daemon's self-checks.
struct self_check_state
{
    /// When the last successful check began.
    std::optional<instant> passedAt;
    /// When the first failed check after the last successful one began.
    std::optional<instant> failingSince;
};

/// Chooses the reference replicas to probe when the replica \a silent does not answer. Each is in another domain than \a silent and the
/// other references, and they are spread over the data centres. Replicas that are \a suspected, leaving or unlisted are excluded.
/// \a randomValue varies the choice.
std::vector<served_replica> chooseReferenceReplicas(const replica_directory &directory,
                                                    const served_replica &silent,
                                                    const std::set<instance_id> &suspected,
                                                    std::uint64_t randomValue);
/// How many of the probed reference replicas have to answer for the check to pass.
std::size_t requiredAnswers(std::size_t references);
/// Records the result of a check that began at \a began.
void recordSelfCheck(self_check_state &state, instant began, bool hasPassed);
/// Whether a check that began at or after \a since has passed.
bool hasPassedSince(const self_check_state &state, instant since);
/// Whether the latest check has failed.
bool isSelfCheckFailing(const self_check_state &state);
/// Whether a coordinator should hand over, since its checks have failed for handOverDelay.
bool mustHandOver(const self_check_state &state, instant now);

} // namespace vetchpost
