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

/// Exchanges facts and registers with the other daemons: in periodic rounds, and at once when a change is urgent. Also carries other
/// calls between daemons.
class peer_service
{
public:
    peer_service(const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers);
    ~peer_service();
    peer_service(const peer_service &) = delete;
    peer_service &operator=(const peer_service &) = delete;

    /// Adds a method to the interface between daemons. Must be called before the first request arrives.
    void addMethod(const std::string &name, std::function<Json::Value(const Json::Value &)> call);
    /// Registers the periodic exchange; call once.
    void subscribeTo(timer_service &timers);
    /// Handles one request of the peers' interface.
    void handle(http_exchange &exchange);
    /// Starts an exchange with every live daemon of the data centre and with one daemon of each other data centre. If such a round is
    /// already running, another one follows it.
    void exchangeNow();
    /// Calls a method of a peer and waits for the result. Returns nothing if there is no usable reply within the timeout.
    std::optional<Json::Value> call(const endpoint &peer, const std::string &method, const Json::Value &parameters, duration timeout);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
