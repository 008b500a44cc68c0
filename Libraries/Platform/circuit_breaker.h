// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost {

/// Circuit breaker of one daemon for its calls to the key-value service: whether the service answers and, if not, when to probe it again.
struct circuit_breaker
{
    /// Consecutive calls without an answer.
    int consecutiveFailures = 0;
    /// Consecutive backoffs. Each is twice as long as the one before, up to a limit.
    int backoffCount = 0;
    /// When the service last answered.
    instant lastAnswer;
    /// The earliest time of the next probe while the service does not answer.
    instant nextProbe;
    /// A probe is in progress. Only one is made at a time.
    bool isProbing = false;
};

enum class call_decision {
    /// The service answers: the call may be sent.
    allow,
    /// The service did not answer: the caller must probe it first.
    probe,
    /// The service did not answer, and another call is probing it or the backoff has not ended.
    reject
};

/// Decides whether a call may be sent now. A probe is in progress from its decision until its result is recorded.
call_decision decideCall(circuit_breaker &breaker, instant now);
/// Records that a call was answered, which closes the circuit breaker.
void recordSuccess(circuit_breaker &breaker, instant now);
/// Records that a probe was answered. Calls are allowed again, but a single failure opens the circuit breaker again.
void recordProbeSuccess(circuit_breaker &breaker);
/// Records that a call that began at \a startedAt was not answered. \a jitter is a random number from 0 to 1 that spreads the next probes
/// of the daemons.
void recordFailure(circuit_breaker &breaker, call_decision decision, instant startedAt, double jitter, instant now);

} // namespace vetchpost
