// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// This header and its source are C++14: the JSON-RPC library's headers carry exception specifications that newer
// standards have removed.

namespace vetchpost {

/// One method of the interface between daemons.
struct peer_method
{
    std::string name;
    std::function<Json::Value(const Json::Value &parameters)> call;
};

/// Answers JSON-RPC calls by the methods it was given.
class peer_rpc_server
{
public:
    explicit peer_rpc_server(const std::vector<peer_method> &methods);
    ~peer_rpc_server();
    peer_rpc_server(const peer_rpc_server &) = delete;
    peer_rpc_server &operator=(const peer_rpc_server &) = delete;

    /// The reply to one message; an error reply where the message is no valid call.
    std::string reply(const std::string &message);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Carries one message to a peer and brings back its reply; false where that failed.
using peer_transport = std::function<bool(const std::string &message, std::string &reply)>;

/// Calls a method of a peer; false where there was no usable reply.
bool callPeerMethod(const peer_transport &transport, const std::string &method, const Json::Value &parameters, Json::Value &result);

} // namespace vetchpost
