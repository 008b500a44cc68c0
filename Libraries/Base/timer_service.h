// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <functional>
#include <memory>
#include <string>

namespace vetchpost {

/// Calls its subscribers at their periods, one after another on one thread. A subscriber must not block for long;
/// a period that was missed is not made up for.
class timer_service
{
public:
    timer_service();
    ~timer_service();
    timer_service(const timer_service &) = delete;
    timer_service &operator=(const timer_service &) = delete;

    /// Subscribes \a callback; the first call comes after one period.
    void subscribe(std::string name, duration period, std::function<void(instant)> callback);
    /// Starts the thread.
    void start();
    /// Returns when the thread has ended; no callback runs afterwards.
    void stop();
    /// Calls all that are due at \a now on the calling thread: for tests in virtual time.
    void runDue(instant now);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
