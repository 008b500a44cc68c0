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
/// How soon a client notices that it wants to leave.
constexpr duration evaluationPeriod(20);

/// False where it is no answer's head.
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

body_decoder decoderOf(const client_answer &answer)
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

    /// What came until then; nothing at the end of the connection.
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

    /// Takes bytes until the answer is whole, broken or left.
    answer_end readAnswer(client_answer &answer, duration patience, const std::function<bool(const std::string &)> &leaves)
    {
        std::string head;
        std::optional<body_decoder> decoder;
        auto latest = monotonicNow() + patience;
        for (;;) {
            if (leaves(answer.body)) {
                return answer_end::left;
            }
            const auto bytes = receive(evaluationPeriod);
            if (!bytes) {
                return decoder && decoder->consumeEnd() == body_decoder::state::complete ? answer_end::whole : answer_end::broken;
            }
            // What is there is read first: where this process stood still, the daemon must not be blamed for it.
            if (bytes->empty() && monotonicNow() >= latest) {
                return answer_end::broken;
            }
            if (bytes->empty()) {
                continue;
            }
            latest = monotonicNow() + patience;
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
                decoder.emplace(decoderOf(answer));
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
        // isOpen() tells it.
        d->close();
    }
}

client_connection::~client_connection() = default;

bool client_connection::isOpen() const
{
    return d->isOpen;
}

client_answer
client_connection::exchange(const std::string &request, duration patience, const std::function<bool(const std::string &)> &leaves)
{
    client_answer answer;
    answer.sentAt = monotonicNow();
    try {
        const auto early = d->receive(duration(0));
        if (!early || !early->empty()) {
            // Closed while idle, or bytes without a request.
            answer.hasSurplus = early.has_value();
            d->close();
            return answer;
        }
        d->send(request);
        answer.sentAt = monotonicNow();
        answer.end = answer_end::broken;
        answer.end = d->readAnswer(answer, patience, leaves);
    } catch (const Poco::Exception &) {
        // The connection broke: the end that is set says how far it came.
        d->close();
    }
    const bool isKept = Poco::icompare(headerValue(answer.headers, "Connection"), std::string("close")) != 0;
    if (answer.end != answer_end::whole || answer.hasSurplus || !isKept) {
        d->close();
    }
    return answer;
}

} // namespace vetchpost::test
