// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/circuit_breaker.h"
#include "Libraries/Platform/circuit_breaking_service.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));

/// The number of calls that a daemon with three threads makes during an outage in which each attempt fails after \a callTime.
int callsDuringOutage(duration outage, duration callTime, double jitter)
{
    circuit_breaker breaker;
    recordSuccess(breaker, start);
    int calls = 0;
    bool isBusy = false;
    instant busyUntil;
    for (auto now = start + duration(1); now < start + outage; now += duration(50)) {
        if (isBusy && now >= busyUntil) {
            recordFailure(breaker, call_decision::probe, busyUntil - callTime, jitter, now);
            isBusy = false;
        }
        for (int thread = 0; thread < 3; ++thread) {
            const auto decision = decideCall(breaker, now);
            calls += decision == call_decision::reject ? 0 : 1;
            if (decision == call_decision::allow) {
                recordFailure(breaker, decision, now, jitter, now);
            } else if (decision == call_decision::probe) {
                isBusy = true;
                busyUntil = now + callTime;
            }
        }
    }
    return calls;
}

/// Counts its calls and answers them while it is available.
class scripted_service : public key_value_service
{
public:
    std::atomic<bool> isAvailable = true;
    std::atomic<int> calls = 0;
    std::atomic<int> staleReads = 0;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason & /*lastReason*/) override
    {
        ++calls;
        staleReads += freshness == read_freshness::may_be_stale ? 1 : 0;
        return isAvailable ? std::optional(key_value_entry{key, "v", key_revision(1)}) : std::nullopt;
    }
    std::optional<key_value_listing> list(const std::string & /*prefix*/, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isAvailable ? std::optional(key_value_listing()) : std::nullopt;
    }
    swap_result
    compareAndSwap(const std::string & /*key*/, key_revision /*expected*/, const std::string & /*value*/, lease_number /*lease*/) override
    {
        ++calls;
        return {isAvailable ? swap_outcome::applied : swap_outcome::unknown, key_revision(2)};
    }
    std::optional<lease_number> grantLease(duration /*time*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isAvailable ? std::optional(lease_number(1)) : std::nullopt;
    }
    std::optional<bool> renewLease(lease_number /*lease*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isAvailable ? std::optional(true) : std::nullopt;
    }
    void endLease(lease_number /*lease*/) override
    {
        ++calls;
    }
    std::optional<watch_result>
    watch(const std::string & /*prefix*/, store_revision /*after*/, duration /*wait*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isAvailable ? std::optional(watch_result()) : std::nullopt;
    }
};

} // namespace

TEST_CASE("One call without an answer does not block the next one")
{
    circuit_breaker breaker;
    recordSuccess(breaker, start);
    recordFailure(breaker, call_decision::allow, start + duration(1), 0.5, start + duration(2));
    CHECK(decideCall(breaker, start + duration(2)) == call_decision::allow);
}

TEST_CASE("A failed call that began before the last answer is ignored")
{
    circuit_breaker breaker;
    recordSuccess(breaker, start);
    for (int i = 0; i < 5; ++i) {
        recordFailure(breaker, call_decision::allow, start - duration(1), 0.5, start + duration(100));
    }
    CHECK(decideCall(breaker, start + duration(100)) == call_decision::allow);
}

TEST_CASE("A daemon calls a service that does not answer at most about twice a second, however many threads it has")
{
    // Calls that fail immediately, and calls that fail only after the connection timeout.
    for (const double jitter : {0.0, 0.5, 1.0}) {
        CHECK(callsDuringOutage(duration(10000), duration(0), jitter) <= 30);
        CHECK(callsDuringOutage(duration(10000), duration(500), jitter) <= 17);
    }
}

TEST_CASE("A service that is back is detected within 0.65 s, however long the outage was")
{
    circuit_breaker breaker;
    recordSuccess(breaker, start);
    auto now = start;
    for (int i = 0; i < 40; ++i) {
        now += duration(1000);
        const auto decision = decideCall(breaker, now);
        REQUIRE(decision != call_decision::reject);
        recordFailure(breaker, decision, now, 1, now);
    }
    CHECK(decideCall(breaker, now + duration(300)) == call_decision::reject);
    CHECK(decideCall(breaker, now + duration(650)) == call_decision::probe);
    // While one call probes the service, the others are rejected; an answer to the probe allows all of them.
    CHECK(decideCall(breaker, now + duration(650)) == call_decision::reject);
    recordProbeSuccess(breaker);
    CHECK(decideCall(breaker, now + duration(650)) == call_decision::allow);
    // The probe was answered but the call was not: the outage goes on, and the backoff continues from its last value.
    recordFailure(breaker, call_decision::allow, now + duration(650), 0, now + duration(650));
    CHECK(decideCall(breaker, now + duration(650 + 300)) == call_decision::reject);
    recordSuccess(breaker, now + duration(2000));
    CHECK(decideCall(breaker, now + duration(2000)) == call_decision::allow);
}

TEST_CASE("Calls to a service that does not answer fail immediately, and a stale read detects that it is back")
{
    auto owned = std::make_unique<scripted_service>();
    auto &service = *owned;
    circuit_breaking_service guarded(std::move(owned), "configuration");
    reason why;
    REQUIRE(guarded.grantLease(duration(2000), why));
    service.isAvailable = false;
    for (int i = 0; i < 50; ++i) {
        CHECK(!guarded.watch("servers/", store_revision(1), duration(3000), why));
        CHECK(guarded.compareAndSwap("key", {}, "value", {}).outcome != swap_outcome::applied);
    }
    CHECK(why.kind == error_kind::platform_unavailable);
    CHECK(service.calls <= 4);
    service.isAvailable = true;
    const auto until = monotonicNow() + duration(5000);
    while (!guarded.watch("servers/", store_revision(1), duration(3000), why) && monotonicNow() < until) { }
    CHECK(service.staleReads >= 1);
    CHECK(guarded.compareAndSwap("key", {}, "value", {}).outcome == swap_outcome::applied);
}
