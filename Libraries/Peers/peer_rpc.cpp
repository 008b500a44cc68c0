// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Peers/peer_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <map>

namespace vetchpost {

namespace {

/// A connector that the library requires but that does not listen: messages arrive through the daemon's HTTP server and are passed to the
/// handler directly.
class message_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string & /*response*/, void * /*addInfo*/) override
    {
        return true;
    }
};

class method_server : public jsonrpc::AbstractServer<method_server>
{
public:
    method_server(message_connector &connector, const std::vector<peer_method> &methods)
        : jsonrpc::AbstractServer<method_server>(connector, jsonrpc::JSONRPC_SERVER_V2)
    {
        for (const auto &method : methods) {
            m_methods[method.name] = method.call;
            const jsonrpc::Procedure procedure(method.name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL);
            bindAndAddMethod(procedure, &method_server::unused);
        }
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        output = m_methods.at(procedure.GetProcedureName())(input);
    }

private:
    void unused(const Json::Value & /*input*/, Json::Value & /*output*/)
    {
    }

    std::map<std::string, std::function<Json::Value(const Json::Value &)>> m_methods;
};

class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(const peer_transport &transport)
        : m_transport(transport)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no reply");
        }
    }

private:
    const peer_transport &m_transport;
};

} // namespace

struct peer_rpc_server::private_data
{
    message_connector connector;
    method_server server;

    explicit private_data(const std::vector<peer_method> &methods)
        : server(connector, methods)
    {
    }
};

peer_rpc_server::peer_rpc_server(const std::vector<peer_method> &methods)
    : d(new private_data(methods))
{
}

peer_rpc_server::~peer_rpc_server() = default;

std::string peer_rpc_server::reply(const std::string &message)
{
    std::string response;
    d->connector.GetHandler()->HandleRequest(message, response);
    return response;
}

bool callPeerMethod(const peer_transport &transport, const std::string &method, const Json::Value &parameters, Json::Value &result)
{
    try {
        transport_connector connector(transport);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        result = client.CallMethod(method, parameters);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace vetchpost
