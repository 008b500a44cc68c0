// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <functional>
#include <memory>
#include <string>

namespace vetchpost {

/// Calls its subscribers periodically, one after another on one thread. A subscriber must not block for long. Missed periods are not made
/// up for.
class timer_service
{
public:
    timer_service();
    ~timer_service();
    timer_service(const timer_service &) = delete;
    timer_service &operator=(const timer_service &) = delete;

    /// Calls \a callback once per \a period, for the first time after one period.
    void subscribe(std::string name, duration period, std::function<void(instant)> callback);
    /// Starts the thread.
    void start();
    /// Stops the thread and waits for its end; no callback runs afterwards.
    void stop();
    /// Calls all subscribers that are due at \a now on the calling thread. Tests in virtual time call it directly.
    void runDue(instant now);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
