// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Settings/daemon_settings.h"

#include <memory>

namespace vetchpost {

/// A daemon that runs on the product's own interfaces. It serves callers, operators and peers, probes instances, and can become the
/// coordinator of its data centre.
class vetchpost_daemon
{
public:
    /// Binds the three listeners. Throws Poco::Net::NetException if one of them cannot be bound.
    explicit vetchpost_daemon(const daemon_settings &settings);
    ~vetchpost_daemon();
    vetchpost_daemon(const vetchpost_daemon &) = delete;
    vetchpost_daemon &operator=(const vetchpost_daemon &) = delete;

    /// Starts the periodic work and the configuration service.
    void start();
    /// Shuts down gracefully: reports not ready, drains the requests in flight for at most the drain timeout, then stops all threads.
    /// Blocks until that is done.
    void stop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
