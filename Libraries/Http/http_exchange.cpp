// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/http_exchange_data.h"

#include "Libraries/Base/json.h"
#include "Libraries/Base/log.h"
#include "Libraries/Http/socket_splice.h"

#include <Poco/Net/NetException.h>

#include <array>

namespace vetchpost {

namespace {

constexpr part_log httpLog("http");

} // namespace

http_exchange::http_exchange(private_data &data)
    : d(data)
{
}

const std::string &http_exchange::method() const
{
    return d.request.getMethod();
}

const std::string &http_exchange::path() const
{
    return d.path;
}

const std::string &http_exchange::target() const
{
    return d.request.getURI();
}

std::string http_exchange::query() const
{
    return d.uri.getRawQuery();
}

std::string http_exchange::queryParameter(std::string_view name) const
{
    for (const auto &[key, value] : d.uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

int http_exchange::number() const
{
    return d.number;
}

std::string http_exchange::header(const std::string &name) const
{
    return d.request.get(name, "");
}

std::vector<http_header> http_exchange::headers() const
{
    std::vector<http_header> result;
    for (const auto &[name, value] : d.request) {
        result.push_back({name, value});
    }
    return result;
}

std::optional<std::string>
http_exchange::readBody(std::size_t limit, duration timeout, reason &lastReason, const std::function<bool()> &isAdmitted)
{
    if (!d.body) {
        lastReason = d.framingProblem;
        return std::nullopt;
    }
    const reason tooLarge{error_kind::body_too_large, fmt::format("the body may have at most {} bytes", limit)};
    if (d.request.hasContentLength() && static_cast<std::size_t>(d.request.getContentLength64()) > limit) {
        lastReason = tooLarge;
        return std::nullopt;
    }
    const auto deadline = monotonicNow() + timeout;
    const auto mostBytes = d.request.hasContentLength() ? static_cast<std::size_t>(d.request.getContentLength64()) : limit;
    std::string body;
    std::string piece;
    auto &connection = connectionOf(d.socket());
    const reason needed{error_kind::overloaded, "the body was incomplete when the connection was needed for others"};
    if (!d.isBodyComplete()) {
        connection.enter(connection_phase::body);
    }
    while (d.body->current() == body_decoder::state::needs_more) {
        piece.clear();
        if (d.body->hasBuffered() || d.waitForBody(deadline)) {
            d.body->read(piece);
        } else if (connection.isInterrupted()) {
            lastReason = needed;
            return std::nullopt;
        } else if (!d.memory.isGivenUp()) {
            lastReason = {error_kind::slow_sender, "the body did not arrive in time"};
            return std::nullopt;
        }
        if (body.size() + piece.size() > limit) {
            lastReason = tooLarge;
            return std::nullopt;
        }
        if (isAdmitted && body.size() <= freeBodyMemory && body.size() + piece.size() > freeBodyMemory && !isAdmitted()) {
            return std::nullopt;
        }
        if (!d.memory.append(body, piece, mostBytes, deadline)) {
            lastReason = {error_kind::overloaded, "there is no memory for the body"};
            return std::nullopt;
        }
    }
    d.memory.complete();
    if (!connection.enter(connection_phase::handling)) {
        lastReason = needed;
        return std::nullopt;
    }
    if (d.body->current() == body_decoder::state::broken) {
        lastReason = {error_kind::malformed_request, "the body is incomplete or its chunked encoding is invalid"};
        return std::nullopt;
    }
    return body;
}

/// Must be called before the head of a response is sent. A connection with an unread rest of a body must not be reused, since the rest
/// would be read as the next request.
void http_exchange::closeUnlessBodyRead()
{
    if (!d.isBodyComplete()) {
        d.response.setKeepAlive(false);
    }
}

void http_exchange::setHeader(const std::string &name, const std::string &value)
{
    d.response.set(name, value);
}

void http_exchange::send(int status, const std::string &contentType, const std::string &body)
{
    d.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    d.response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(d.response.getStatus()));
    closeUnlessBodyRead();
    d.response.setContentType(contentType);
    d.response.sendBuffer(body.data(), body.size());
}

void http_exchange::sendError(const reason &why, const std::string &requestId, std::optional<duration> retryAfterOverride)
{
    const auto &answer = errorAnswer(why.kind);
    Json::Value error;
    error["kind"] = std::string(answer.name);
    error["message"] = why.text;
    error["ran"] = std::string(runStateName(answer.ran));
    if (!requestId.empty()) {
        error["request_id"] = requestId;
    }
    if (answer.retryAfter.count() > 0 && !retryAfterOverride) {
        error["retry_after_seconds"] = Json::Int64(answer.retryAfter.count());
        setHeader("Retry-After", std::to_string(answer.retryAfter.count()));
    } else if (answer.retryAfter.count() > 0) {
        const auto seconds = std::chrono::duration<double>(*retryAfterOverride).count();
        error["retry_after_seconds"] = seconds;
        setHeader("Retry-After", fmt::format("{:.3f}", seconds));
    }
    Json::Value body;
    body["error"] = error;
    if (why.kind == error_kind::body_too_large || why.kind == error_kind::slow_sender || why.kind == error_kind::malformed_request) {
        d.response.setKeepAlive(false);
    }
    send(answer.httpStatus, "application/json", toJsonText(body));
}

void http_exchange::beginStream(int status, const std::string &contentType)
{
    d.socket().setNoDelay(true);
    d.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    d.response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(d.response.getStatus()));
    closeUnlessBodyRead();
    d.response.setContentType(contentType);
    d.response.setChunkedTransferEncoding(true);
    d.stream = &d.response.send();
}

void http_exchange::beginAnswer(int status,
                                const std::string &reasonPhrase,
                                const std::vector<http_header> &headers,
                                std::optional<std::size_t> length)
{
    d.socket().setNoDelay(true);
    d.response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    d.response.setReason(reasonPhrase);
    closeUnlessBodyRead();
    for (const auto &header : headers) {
        d.response.add(header.name, header.value);
    }
    if (length) {
        d.response.setContentLength(static_cast<std::streamsize>(*length));
    } else {
        d.response.setChunkedTransferEncoding(true);
    }
    d.stream = &d.response.send();
}

void http_exchange::closeAfterResponse()
{
    d.response.setKeepAlive(false);
}

bool http_exchange::write(std::string_view piece)
{
    try {
        d.stream->write(piece.data(), static_cast<std::streamsize>(piece.size()));
        d.stream->flush();
        return d.stream->good();
    } catch (const std::exception &) {
        return false;
    }
}

void http_exchange::completeAnswer()
{
    d.isAnswerComplete = d.stream != nullptr && d.stream->good();
}

void http_exchange::tunnelTo(const tcp_connection &server, instant deadline)
{
    d.response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_OK);
    d.response.setKeepAlive(false);
    d.response.send().flush();
    auto client = d.socket();
    client.setNoDelay(true);
    // Without this the kernel would end the connection as if the answer were whole when this process is killed.
    client.setLinger(true, 0);
    if (!splice(client, server.socket(), deadline)) {
        // Resets the connection.
        client.close();
    }
}

void http_exchange::abort()
{
    d.response.setKeepAlive(false);
    try {
        d.socket().shutdown();
    } catch (const Poco::Exception &error) {
        httpLog.debug("A connection was already closed. error={}", error.displayText());
    }
}

bool http_exchange::hasBegun() const
{
    return d.response.sent();
}

int http_exchange::socketDescriptor() const
{
    constexpr int none = -1;
    return d.canDetectDisconnect ? d.socket().impl()->sockfd() : none;
}

} // namespace vetchpost
