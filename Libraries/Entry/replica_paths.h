// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Routing/served_configuration.h"

#include <memory>

namespace vetchpost {

/// Records which replicas this daemon can connect to. Thread-safe.
class replica_paths
{
public:
    explicit replica_paths(metrics &counters);
    ~replica_paths();
    replica_paths(const replica_paths &) = delete;
    replica_paths &operator=(const replica_paths &) = delete;

    /// Records the result of an attempt to connect to a replica of a service.
    void recordConnect(const service_id &service, const instance_id &replica, bool isConnected);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
