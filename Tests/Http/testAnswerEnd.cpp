// SPDX-License-Identifier: Apache-2.0
// Guards against an answer that ends early and looks complete to its client.
#include "Libraries/Http/body_framing.h"
#include "Libraries/Http/http_server.h"
#include "Tests/Fakes/free_port.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <array>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

Poco::Net::StreamSocket sendRequestTo(const endpoint &address)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(address.host, address.port));
    socket.setReceiveTimeout(Poco::Timespan(3, 0));
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    return socket;
}

/// Receives one answer with a chunked body and returns how its body ended.
body_decoder::state receiveAnswer(Poco::Net::StreamSocket &socket)
{
    body_decoder decoder(body_framing::chunked);
    std::string text;
    std::string body;
    std::array<char, 4096> bytes{};
    bool isBody = false;
    try {
        while (decoder.current() == body_decoder::state::needs_more) {
            const auto count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count <= 0) {
                return decoder.consumeEnd();
            }
            text.append(bytes.data(), static_cast<std::size_t>(count));
            const auto headEnd = text.find("\r\n\r\n");
            if (!isBody && headEnd != std::string::npos) {
                isBody = true;
                text.erase(0, headEnd + 4);
            }
            if (isBody) {
                decoder.consume(std::exchange(text, {}), body);
            }
        }
    } catch (const Poco::Exception &) {
        // A reset breaks the answer as well.
        return decoder.consumeEnd();
    }
    return decoder.current();
}

} // namespace

TEST_CASE("A streamed answer looks complete only if its handler completes it")
{
    for (const bool isComplete : {true, false}) {
        const auto address = freePort();
        http_server server(address, http_server_limits(), [&](http_exchange &exchange) {
            exchange.beginStream(200, "text/event-stream");
            exchange.write("id: 1\n\n");
            if (isComplete) {
                exchange.completeAnswer();
            }
        });
        auto socket = sendRequestTo(address);
        CHECK(receiveAnswer(socket) == (isComplete ? body_decoder::state::complete : body_decoder::state::broken));
    }
}
