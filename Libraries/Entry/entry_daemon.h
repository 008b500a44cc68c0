// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Settings/entry_settings.h"

#include <functional>
#include <memory>

namespace vetchpost {

/// A daemon for a platform on which replicas register themselves in the key-value service. Serves clients, and assembles groups while it is
/// the coordinator.
class entry_daemon
{
public:
    using store_maker = std::function<std::unique_ptr<key_value_service>(const endpoint &address, metrics &counters)>;

    entry_daemon(const entry_settings &settings, std::unique_ptr<entry_dialect> dialect, const store_maker &makeStore);
    ~entry_daemon();
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    /// Binds the listeners and starts all threads. Throws if an address cannot be bound.
    void start();
    /// Reports not ready, finishes the requests that it holds within the stop grace, and returns. The process must exit afterwards:
    /// requests that outlast the grace still run on their threads.
    void stop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
