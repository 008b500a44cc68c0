// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/circuit_breaker.h"

#include <algorithm>

namespace vetchpost {

namespace {

/// A single lost answer does not open the circuit breaker, because the next call may be answered.
constexpr int failuresUntilOpen = 2;
constexpr duration minProbeBackoff(150);
/// Bounds the delay until a daemon detects that the service is back. It is a quarter of the two seconds within which expired entries must
/// be restored, and of the shortest time within which a configuration must be in force.
constexpr duration maxProbeBackoff(500);
/// Fraction of a backoff by which it may be shorter or longer.
constexpr double backoffJitter = 0.25;

bool isOpen(const circuit_breaker &breaker)
{
    return breaker.consecutiveFailures >= (breaker.backoffCount == 0 ? failuresUntilOpen : 1);
}

} // namespace

call_decision decideCall(circuit_breaker &breaker, instant now)
{
    if (!isOpen(breaker)) {
        return call_decision::allow;
    }
    if (breaker.isProbing || now < breaker.nextProbe) {
        return call_decision::reject;
    }
    breaker.isProbing = true;
    return call_decision::probe;
}

void recordSuccess(circuit_breaker &breaker, instant now)
{
    breaker = circuit_breaker();
    breaker.lastAnswer = now;
}

void recordProbeSuccess(circuit_breaker &breaker)
{
    breaker.isProbing = false;
    breaker.consecutiveFailures = 0;
}

void recordFailure(circuit_breaker &breaker, call_decision decision, instant startedAt, double jitter, instant now)
{
    if (decision == call_decision::probe) {
        breaker.isProbing = false;
    }
    if (startedAt < breaker.lastAnswer) {
        // The service has answered another call since this one began.
        return;
    }
    const bool wasOpen = isOpen(breaker);
    ++breaker.consecutiveFailures;
    if (!isOpen(breaker) || (wasOpen && decision != call_decision::probe)) {
        return;
    }
    const auto backoff = std::min(maxProbeBackoff, minProbeBackoff * (1 << std::min(breaker.backoffCount, 4)));
    ++breaker.backoffCount;
    breaker.nextProbe = now + std::chrono::duration_cast<duration>(backoff * (1 + backoffJitter * (2 * jitter - 1)));
}

} // namespace vetchpost
