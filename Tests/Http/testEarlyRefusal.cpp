// SPDX-License-Identifier: Apache-2.0
// Guards against refusals that are lost because the client was still sending its body.
#include "Libraries/Http/http_server.h"
#include "Tests/Fakes/free_port.h"
#include "Tests/Fakes/raw_client.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A client that sends its whole body receives a refusal that was sent before its end")
{
    const auto address = freePort();
    const http_server server(address, http_server_limits(), [](http_exchange &exchange) {
        exchange.sendError({error_kind::unauthorised, "the key is not known"});
    });
    constexpr std::size_t size = 4U << 20U;
    for (int i = 0; i < 10; ++i) {
        raw_client client(address);
        // Many clients do not read a response once they could not send their request.
        bool isSent = false;
        std::thread sender([&] {
            try {
                client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
                client.shutdownSend();
                isSent = true;
            } catch (const Poco::Exception &) {
                // The server has reset the connection.
                return;
            }
        });
        sender.join();
        CHECK(isSent);
        CHECK(client.receiveAll().starts_with("HTTP/1.1 401"));
    }
}
