// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/paced_service.h"
#include "Libraries/Platform/service_pace.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace vetchpost;

namespace {

const instant start(duration(1000000));

/// Calls that a daemon with three threads makes in a time in which each try fails after \a callTime.
int callsDuringOutage(duration outage, duration callTime, double draw)
{
    service_pace pace;
    noteAnswer(pace, start);
    int calls = 0;
    bool isBusy = false;
    instant busyUntil;
    for (auto now = start + duration(1); now < start + outage; now += duration(50)) {
        if (isBusy && now >= busyUntil) {
            noteSilence(pace, call_permit::probe, busyUntil - callTime, draw, now);
            isBusy = false;
        }
        for (int thread = 0; thread < 3; ++thread) {
            const auto permit = permitCall(pace, now);
            calls += permit == call_permit::held ? 0 : 1;
            if (permit == call_permit::free) {
                noteSilence(pace, permit, now, draw, now);
            } else if (permit == call_permit::probe) {
                isBusy = true;
                busyUntil = now + callTime;
            }
        }
    }
    return calls;
}

/// Counts its calls; answers while it is there.
class scripted_service : public key_value_service
{
public:
    std::atomic<bool> isThere = true;
    std::atomic<int> calls = 0;
    std::atomic<int> cheapReads = 0;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason & /*lastReason*/) override
    {
        ++calls;
        cheapReads += freshness == read_freshness::may_be_stale ? 1 : 0;
        return isThere ? std::optional(key_value_entry{key, "v", key_revision(1)}) : std::nullopt;
    }
    std::optional<key_value_listing> list(const std::string & /*prefix*/, read_freshness /*freshness*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isThere ? std::optional(key_value_listing()) : std::nullopt;
    }
    swap_result
    compareAndSwap(const std::string & /*key*/, key_revision /*expected*/, const std::string & /*value*/, lease_number /*lease*/) override
    {
        ++calls;
        return {isThere ? swap_outcome::applied : swap_outcome::unknown, key_revision(2)};
    }
    std::optional<lease_number> grantLease(duration /*time*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isThere ? std::optional(lease_number(1)) : std::nullopt;
    }
    std::optional<bool> renewLease(lease_number /*lease*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isThere ? std::optional(true) : std::nullopt;
    }
    void endLease(lease_number /*lease*/) override
    {
        ++calls;
    }
    std::optional<watch_result>
    watch(const std::string & /*prefix*/, std::uint64_t /*after*/, duration /*wait*/, reason & /*lastReason*/) override
    {
        ++calls;
        return isThere ? std::optional(watch_result()) : std::nullopt;
    }
};

} // namespace

TEST_CASE("One call without an answer does not hold the next one up")
{
    service_pace pace;
    noteAnswer(pace, start);
    noteSilence(pace, call_permit::free, start + duration(1), 0.5, start + duration(2));
    CHECK(permitCall(pace, start + duration(2)) == call_permit::free);
}

TEST_CASE("A silence that began before the last answer says nothing")
{
    service_pace pace;
    noteAnswer(pace, start);
    for (int i = 0; i < 5; ++i) {
        noteSilence(pace, call_permit::free, start - duration(1), 0.5, start + duration(100));
    }
    CHECK(permitCall(pace, start + duration(100)) == call_permit::free);
}

TEST_CASE("A daemon asks a service that is away at most about twice a second, whatever its threads want")
{
    // Refused at once, and silent for the time that a connection takes.
    for (const double draw : {0.0, 0.5, 1.0}) {
        CHECK(callsDuringOutage(duration(10000), duration(0), draw) <= 30);
        CHECK(callsDuringOutage(duration(10000), duration(500), draw) <= 17);
    }
}

TEST_CASE("A service that is back is noticed within 0.65 s, however long it was away")
{
    service_pace pace;
    noteAnswer(pace, start);
    auto now = start;
    for (int i = 0; i < 40; ++i) {
        now += duration(1000);
        const auto permit = permitCall(pace, now);
        REQUIRE(permit != call_permit::held);
        noteSilence(pace, permit, now, 1, now);
    }
    CHECK(permitCall(pace, now + duration(300)) == call_permit::held);
    CHECK(permitCall(pace, now + duration(650)) == call_permit::probe);
    // While one call finds out, the others are held; its answer lets all go.
    CHECK(permitCall(pace, now + duration(650)) == call_permit::held);
    noteProbeAnswer(pace);
    CHECK(permitCall(pace, now + duration(650)) == call_permit::free);
    // The look was answered, the call was not: it is away still, and the pauses go on where they were.
    noteSilence(pace, call_permit::free, now + duration(650), 0, now + duration(650));
    CHECK(permitCall(pace, now + duration(650 + 300)) == call_permit::held);
    noteAnswer(pace, now + duration(2000));
    CHECK(permitCall(pace, now + duration(2000)) == call_permit::free);
}

TEST_CASE("Calls to a service that is away fail at once; a cheap read finds out that it is back")
{
    auto owned = std::make_unique<scripted_service>();
    auto &service = *owned;
    paced_service paced(std::move(owned), "configuration");
    reason why;
    REQUIRE(paced.grantLease(duration(2000), why));
    service.isThere = false;
    for (int i = 0; i < 50; ++i) {
        CHECK(!paced.watch("servers/", 1, duration(3000), why));
        CHECK(paced.compareAndSwap("key", {}, "value", {}).outcome != swap_outcome::applied);
    }
    CHECK(why.kind == error_kind::platform_unavailable);
    CHECK(service.calls <= 4);
    service.isThere = true;
    const auto until = monotonicNow() + duration(5000);
    while (!paced.watch("servers/", 1, duration(3000), why) && monotonicNow() < until) { }
    CHECK(service.cheapReads >= 1);
    CHECK(paced.compareAndSwap("key", {}, "value", {}).outcome == swap_outcome::applied);
}
