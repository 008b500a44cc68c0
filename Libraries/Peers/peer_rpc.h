// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

// This header and its source must compile as C++14: the JSON-RPC library's headers use dynamic exception specifications, which C++17
// removed.

namespace vetchpost {

/// A method of the JSON-RPC interface between daemons.
struct peer_method
{
    std::string name;
    std::function<Json::Value(const Json::Value &parameters)> call;
};

/// Dispatches JSON-RPC calls to the given methods.
class peer_rpc_server
{
public:
    explicit peer_rpc_server(const std::vector<peer_method> &methods);
    ~peer_rpc_server();
    peer_rpc_server(const peer_rpc_server &) = delete;
    peer_rpc_server &operator=(const peer_rpc_server &) = delete;

    /// Handles one message and returns the reply, which is an error reply if the message is not a valid call.
    std::string reply(const std::string &message);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Sends a message to a peer and receives the reply; returns false on failure.
using peer_transport = std::function<bool(const std::string &message, std::string &reply)>;

/// Calls a method of a peer and sets \a result; returns false if no valid reply arrived.
bool callPeerMethod(const peer_transport &transport, const std::string &method, const Json::Value &parameters, Json::Value &result);

} // namespace vetchpost
