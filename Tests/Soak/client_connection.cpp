// SPDX-License-Identifier: Apache-2.0
#include "Tests/Soak/client_connection.h"

#include "Libraries/Http/body_framing.h"
#include "Libraries/Http/poco_timespan.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <array>
#include <sstream>

namespace vetchpost::test {

namespace {

constexpr duration connectTimeout(1000);
constexpr auto headEnd = "\r\n\r\n";
/// How often a client that receives nothing checks whether to abandon its request or give up.
constexpr duration pollPeriod(20);

/// Parses the status line and the headers into \a answer. Returns false if the status line is not that of an HTTP/1 answer.
bool readHead(const std::string &head, client_answer &answer)
{
    std::istringstream in(head);
    std::string protocol;
    std::string line;
    if (!(in >> protocol >> answer.status) || !protocol.starts_with("HTTP/1.")) {
        answer.status = 0;
        return false;
    }
    std::getline(in, line);
    while (std::getline(in, line)) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            answer.headers.push_back({line.substr(0, colon), Poco::trim(line.substr(colon + 1))});
        }
    }
    return true;
}

/// Returns the decoder for the body framing that the answer's headers declare.
body_decoder makeBodyDecoder(const client_answer &answer)
{
    if (Poco::icompare(headerValue(answer.headers, "Transfer-Encoding"), std::string("chunked")) == 0) {
        return body_decoder(body_framing::chunked);
    }
    const auto length = headerValue(answer.headers, "Content-Length");
    return length.empty() ? body_decoder(body_framing::until_close) : body_decoder(body_framing::length, std::stoull(length));
}

} // namespace

struct client_connection::private_data
{
    Poco::Net::StreamSocket socket;
    bool isOpen = false;

    /// Waits up to \a time for bytes. Returns an empty string if none arrived, or nothing if the peer closed the connection.
    std::optional<std::string> receive(duration time)
    {
        std::array<char, 8192> buffer{};
        if (!socket.poll(timespanOf(time), Poco::Net::Socket::SELECT_READ)) {
            return std::string();
        }
        const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        return count > 0 ? std::optional(std::string(buffer.data(), static_cast<std::size_t>(count))) : std::nullopt;
    }

    void send(const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
    }

    void close()
    {
        isOpen = false;
        socket.close();
    }

    /// Reads until the answer is complete, broken or abandoned.
    answer_end readAnswer(client_answer &answer, duration maxSilence, const std::function<bool(const std::string &)> &shouldAbandon)
    {
        std::string head;
        std::optional<body_decoder> decoder;
        auto deadline = monotonicNow() + maxSilence;
        for (;;) {
            if (shouldAbandon(answer.body)) {
                return answer_end::abandoned;
            }
            const auto bytes = receive(pollPeriod);
            if (!bytes) {
                return decoder && decoder->consumeEnd() == body_decoder::state::complete ? answer_end::whole : answer_end::broken;
            }
            // Bytes that have arrived are read before the time limit is checked: a stall of this process must not count against the daemon.
            if (bytes->empty() && monotonicNow() >= deadline) {
                return answer_end::broken;
            }
            if (bytes->empty()) {
                continue;
            }
            deadline = monotonicNow() + maxSilence;
            auto body = *bytes;
            if (!decoder) {
                head += *bytes;
                const auto end = head.find(headEnd);
                if (end == std::string::npos) {
                    continue;
                }
                body = head.substr(end + std::string(headEnd).size());
                if (!readHead(head.substr(0, end), answer)) {
                    answer.hasSurplus = true;
                    return answer_end::broken;
                }
                decoder.emplace(makeBodyDecoder(answer));
            }
            const auto state = decoder->consume(body, answer.body);
            answer.hasSurplus = decoder->hasSurplus();
            if (state != body_decoder::state::needs_more) {
                return state == body_decoder::state::complete ? answer_end::whole : answer_end::broken;
            }
        }
    }
};

client_connection::client_connection(const endpoint &daemon)
    : d(std::make_unique<private_data>())
{
    try {
        d->socket.connect(Poco::Net::SocketAddress(daemon.host, daemon.port), timespanOf(connectTimeout));
        d->socket.setNoDelay(true);
        d->isOpen = true;
    } catch (const Poco::Exception &) {
        // isOpen() reports the failure.
        d->close();
    }
}

client_connection::~client_connection() = default;

bool client_connection::isOpen() const
{
    return d->isOpen;
}

instant client_connection::sendAndClose(const std::string &part)
{
    try {
        if (d->isOpen) {
            d->send(part);
        }
    } catch (const Poco::Exception &) {
        // The connection broke before, so that nothing of the request can run.
        d->isOpen = false;
    }
    d->close();
    return monotonicNow();
}

client_answer
client_connection::exchange(const std::string &request, duration maxSilence, const std::function<bool(const std::string &)> &shouldAbandon)
{
    client_answer answer;
    answer.sentAt = monotonicNow();
    try {
        const auto early = d->receive(duration(0));
        if (!early || !early->empty()) {
            // The daemon closed the idle connection, or sent bytes without a request.
            answer.hasSurplus = early.has_value();
            d->close();
            return answer;
        }
        d->send(request);
        answer.sentAt = monotonicNow();
        answer.end = answer_end::broken;
        answer.end = d->readAnswer(answer, maxSilence, shouldAbandon);
    } catch (const Poco::Exception &) {
        // The connection broke; answer.end already records whether the request had been sent.
        d->close();
    }
    const bool isPersistent = Poco::icompare(headerValue(answer.headers, "Connection"), std::string("close")) != 0;
    if (answer.end != answer_end::whole || answer.hasSurplus || !isPersistent) {
        d->close();
    }
    return answer;
}

} // namespace vetchpost::test
