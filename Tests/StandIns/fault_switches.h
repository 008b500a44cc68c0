// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Http/http_server.h"

#include <atomic>
#include <csignal>
#include <thread>

namespace vetchpost::test {

/// Faults that POST /faults injects into a stand-in.
struct fault_switches
{
    /// Delay before each call is handled, in milliseconds.
    std::atomic<std::uint64_t> delayMs = 0;
    /// HTTP status with which each call is refused; 0 refuses none.
    std::atomic<std::uint64_t> refuseWith = 0;
    /// Backoff in seconds that a refusal requests, stating also that nothing ran; 0 leaves both out.
    std::atomic<std::uint64_t> backoffSeconds = 0;
    /// Number of calls refused with a requested backoff.
    mutable std::atomic<std::uint64_t> rejected = 0;
    /// Number of following writes that take effect while their replies are lost.
    std::atomic<std::uint64_t> loseReplies = 0;

    void set(const Json::Value &json)
    {
        delayMs = jsonNumber(json, "delay_ms");
        refuseWith = jsonNumber(json, "refuse_with");
        backoffSeconds = jsonNumber(json, "rest_seconds");
        loseReplies = jsonNumber(json, "lose_replies");
    }

    Json::Value counts() const
    {
        Json::Value json;
        json["rejected"] = Json::UInt64(rejected);
        return json;
    }

    /// Applies the faults that precede the handling of a call; returns false if the call has been answered.
    bool applyBeforeCall(http_exchange &exchange) const
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
        if (refuseWith != 0 && backoffSeconds != 0) {
            ++rejected;
            exchange.setHeader("Retry-After", std::to_string(backoffSeconds));
            exchange.setHeader("X-Request-Ran", "no");
            exchange.send(static_cast<int>(refuseWith), "application/json", R"({"ran":"not_run","message":"backing off"})");
            return false;
        }
        if (refuseWith != 0) {
            exchange.send(static_cast<int>(refuseWith), "text/plain", "out of order\n");
            return false;
        }
        return true;
    }

    bool shouldLoseReply()
    {
        auto left = loseReplies.load();
        while (left > 0 && !loseReplies.compare_exchange_weak(left, left - 1)) { }
        return left > 0;
    }
};

/// Reads the JSON body of a request; returns null if there is none or it is not valid JSON.
inline Json::Value readJsonBody(http_exchange &exchange)
{
    constexpr std::size_t limit = 16U << 20U;
    reason ignored;
    const auto text = exchange.readBody(limit, std::chrono::seconds(10), ignored);
    return text ? parseJson(*text).value_or(Json::Value()) : Json::Value();
}

inline void sendJson(http_exchange &exchange, const Json::Value &json, int status = 200)
{
    exchange.send(status, "application/json", toJsonText(json));
}

/// Blocks until SIGTERM or SIGINT. The signals must be blocked in all threads: call blockStopSignals() first in main().
inline void waitForStop()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
}

inline void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace vetchpost::test
