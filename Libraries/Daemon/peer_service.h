// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Http/http_server.h"

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace vetchpost {

/// Exchanges with the other daemons: one round a period, and at once where something changed that others should hear.
class peer_service
{
public:
    peer_service(const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers);
    ~peer_service();
    peer_service(const peer_service &) = delete;
    peer_service &operator=(const peer_service &) = delete;

    /// Another method of the interface between daemons; before the first request.
    void addMethod(const std::string &name, std::function<Json::Value(const Json::Value &)> call);
    void subscribeTo(timer_service &timers);
    /// Answers one request of the peers' listener.
    void handle(http_exchange &exchange);
    /// Exchanges with every live daemon of the data centre, and with one of each other.
    void spreadNow();
    /// Calls a method of one peer; nothing where there was no usable reply.
    std::optional<Json::Value> call(const endpoint &peer, const std::string &method, const Json::Value &parameters, duration timeout);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
