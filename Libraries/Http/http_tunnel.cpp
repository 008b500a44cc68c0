// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_tunnel.h"

#include "Libraries/Http/body_reader.h"
#include "Libraries/Http/request_writer.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace vetchpost {

namespace {

constexpr auto connectMethod = "CONNECT";

} // namespace

std::optional<tcp_connection> openTunnel(const http_call &call, const std::string &target, tunnel_refusal &refusal, reason &lastReason)
{
    connect_failure failure{};
    const auto connection = connectTo(call.to, call.connectTimeout, failure, lastReason);
    if (!connection) {
        return std::nullopt;
    }
    try {
        Poco::Net::HTTPClientSession session(connection->socket());
        Poco::Net::HTTPRequest request(connectMethod, target, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(call.to.host, call.to.port);
        for (const auto &header : call.headers) {
            request.set(header.name, header.value);
        }
        const auto written = writeRequest(session, request, {});
        const auto response = readResponseHead(session, monotonicNow() + call.receiveTimeout);
        if (written == written_request::partial) {
            lastReason = {error_kind::backend_unreachable, "no tunnel through " + call.to.text() + ": the connection broke off"};
            return std::nullopt;
        }
        if (isSuccessStatus(response.getStatus())) {
            return tcp_connection(session.detachSocket());
        }
        refusal.status = response.getStatus();
        for (const auto &[name, value] : response) {
            refusal.headers.push_back({name, value});
        }
        lastReason = {error_kind::backend_unreachable, "no tunnel through " + call.to.text() + ": " + response.getReason()};
    } catch (const std::exception &error) {
        lastReason = {error_kind::backend_unreachable, "no tunnel through " + call.to.text() + ": " + error.what()};
    }
    return std::nullopt;
}

} // namespace vetchpost
