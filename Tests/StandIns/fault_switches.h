// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Http/http_server.h"

#include <atomic>
#include <csignal>
#include <thread>

namespace vetchpost::test {

/// Faults that a stand-in can be told to show, by POST /faults.
struct fault_switches
{
    /// Every call waits so long first.
    std::atomic<std::uint64_t> delayMs = 0;
    /// Every call is refused with this status; 0 for none.
    std::atomic<std::uint64_t> refuseWith = 0;
    /// A refusal says that nothing ran, and asks for so many seconds of rest; 0 for none.
    std::atomic<std::uint64_t> restSeconds = 0;
    /// Calls that were refused so.
    mutable std::atomic<std::uint64_t> rejected = 0;
    /// So many of the next writes take effect, but their replies are lost.
    std::atomic<std::uint64_t> loseReplies = 0;

    void set(const Json::Value &json)
    {
        delayMs = jsonNumber(json, "delay_ms");
        refuseWith = jsonNumber(json, "refuse_with");
        restSeconds = jsonNumber(json, "rest_seconds");
        loseReplies = jsonNumber(json, "lose_replies");
    }

    Json::Value counts() const
    {
        Json::Value json;
        json["rejected"] = Json::UInt64(rejected);
        return json;
    }

    /// Shows the faults that come before a call; false where the call has been answered.
    bool before(http_exchange &exchange) const
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
        if (refuseWith != 0 && restSeconds != 0) {
            ++rejected;
            exchange.setHeader("Retry-After", std::to_string(restSeconds));
            exchange.setHeader("X-Request-Ran", "no");
            exchange.send(static_cast<int>(refuseWith), "application/json", R"({"ran":"not_run","message":"it rests"})");
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

/// The JSON body of a request; null where there is none.
inline Json::Value bodyOf(http_exchange &exchange)
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
