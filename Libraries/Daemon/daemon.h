// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Settings/daemon_settings.h"

#include <memory>

namespace vetchpost {

/// One daemon with all its roles.
class vetchpost_daemon
{
public:
    /// Binds its three listeners. Throws Poco::Net::NetException where one cannot be bound.
    explicit vetchpost_daemon(const daemon_settings &settings);
    ~vetchpost_daemon();
    vetchpost_daemon(const vetchpost_daemon &) = delete;
    vetchpost_daemon &operator=(const vetchpost_daemon &) = delete;

    void start();
    /// Stops as planned: says not-ready, serves what it holds to the end, then ends. Returns when it has.
    void stop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
