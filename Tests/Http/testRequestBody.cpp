// SPDX-License-Identifier: Apache-2.0
// Guards against a part of a request's body that is taken for the whole one, and against a rest that is read as the next request.
#include "Libraries/Http/http_server.h"
#include "Tests/Fakes/free_port.h"
#include "Tests/Fakes/raw_client.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <mutex>
#include <random>
#include <thread>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr std::size_t bodyLimit = 1000;
constexpr duration bodyTimeout(400);
/// Passes before the body's time limit does.
constexpr duration connectionTimeout(100);

/// What a handler learned of one request.
struct handled_request
{
    std::string target;
    std::optional<std::string> body;
};

/// Answers each request whose body is whole with that body, and the others with an error. Requests for /unread are answered without reading
/// the body.
class body_server
{
public:
    body_server()
        : m_address(freePort())
        , m_server(m_address, limits(), [this](http_exchange &exchange) { handle(exchange); })
    {
    }

    Poco::Net::StreamSocket connect() const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(m_address.host, m_address.port));
        socket.setReceiveTimeout(Poco::Timespan(3, 0));
        return socket;
    }

    std::vector<handled_request> handled() const
    {
        const std::lock_guard lock(m_mutex);
        return m_handled;
    }

private:
    static http_server_limits limits()
    {
        http_server_limits limits;
        limits.requestTimeout = connectionTimeout;
        return limits;
    }

    void handle(http_exchange &exchange)
    {
        if (exchange.path() == "/unread") {
            record({exchange.target(), std::nullopt});
            exchange.send(200, "text/plain", "unread");
            return;
        }
        reason why;
        const auto body = exchange.readBody(bodyLimit, bodyTimeout, why);
        record({exchange.target(), body});
        if (body) {
            exchange.send(200, "text/plain", "<" + *body + ">");
        } else {
            exchange.sendError(why);
        }
    }

    void record(const handled_request &request)
    {
        const std::lock_guard lock(m_mutex);
        m_handled.push_back(request);
    }

    endpoint m_address;
    mutable std::mutex m_mutex;
    std::vector<handled_request> m_handled;
    http_server m_server;
};

void sendText(Poco::Net::StreamSocket &socket, const std::string &text)
{
    try {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
    } catch (const Poco::Exception &) {
        // The server has closed the connection, as some tests intend.
        return;
    }
}

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

const std::string chunkedHead = "POST /order HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";
const std::string closingRequest = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

std::string headWith(const std::string &headers, const std::string &version = "1.1")
{
    return "POST /order HTTP/" + version + "\r\nHost: h\r\n" + headers + "\r\n";
}

} // namespace

TEST_CASE("A request body that ends with its connection is never taken for whole, wherever it ends")
{
    const auto chunked = chunkedHead + chunk("first half, ") + chunk("second half") + lastChunk;
    const auto sized = headWith("Content-Length: 11\r\n") + "eleven byte";
    for (const auto &whole : {chunked, sized}) {
        for (auto cut = whole.find("\r\n\r\n") + 4; cut < whole.size(); ++cut) {
            const body_server server;
            auto socket = server.connect();
            sendText(socket, whole.substr(0, cut));
            socket.shutdownSend();
            CHECK(receiveUntilClosed(socket).starts_with("HTTP/1.1 400"));
            REQUIRE(server.handled().size() == 1);
            CHECK_FALSE(server.handled().front().body);
        }
    }
}

TEST_CASE("A request body whose connection is reset is never taken for whole")
{
    const body_server server;
    auto socket = server.connect();
    sendText(socket, chunkedHead + chunk("first half, "));
    std::this_thread::sleep_for(duration(50));
    socket.setLinger(true, 0);
    socket.close();
    for (int i = 0; i < 100 && server.handled().empty(); ++i) {
        std::this_thread::sleep_for(duration(10));
    }
    REQUIRE(server.handled().size() == 1);
    CHECK_FALSE(server.handled().front().body);
}

TEST_CASE("The rest of a request body that came too late is not read as the next request")
{
    for (const auto &head : {chunkedHead + chunk("first half, "), headWith("Content-Length: 500\r\n") + "first half, "}) {
        const body_server server;
        auto socket = server.connect();
        sendText(socket, head);
        std::this_thread::sleep_for(bodyTimeout + duration(200));
        sendText(socket, "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(receiveUntilClosed(socket).starts_with("HTTP/1.1 408"));
        REQUIRE(server.handled().size() == 1);
        CHECK_FALSE(server.handled().front().body);
    }
}

TEST_CASE("A request body that pauses for longer than the connection's timeout, but not for its own, is read whole")
{
    const body_server server;
    auto socket = server.connect();
    sendText(socket, chunkedHead + chunk("first half, "));
    std::this_thread::sleep_for(connectionTimeout * 2);
    sendText(socket, chunk("second half") + lastChunk + closingRequest);
    CHECK(receiveUntilClosed(socket).find("<first half, second half>") != std::string::npos);
    CHECK(server.handled().size() == 2);
}

TEST_CASE("A request body that a handler does not read is not read as the next request")
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto sized = fmt::format("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", smuggled.size());
    const std::string chunked = "POST /unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &head : {sized, chunked}) {
        const body_server server;
        auto socket = server.connect();
        sendText(socket, head + smuggled);
        const auto answer = receiveUntilClosed(socket);
        CHECK(answer.find("[open]") == std::string::npos);
        REQUIRE(server.handled().size() == 1);
        CHECK(server.handled().front().target == "/unread");
    }
}

TEST_CASE("A request whose head leaves the end of its body open is refused, and nothing after it is read")
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::vector<std::string> heads{
        headWith("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        headWith("Content-Length: 0\r\nContent-Length: 4\r\n"),
        headWith("Content-Length: 0, 4\r\n"),
        headWith("Content-Length: +4\r\n"),
        headWith("Content-Length: -4\r\n"),
        headWith("Content-Length: 0x4\r\n"),
        headWith("Content-Length: 4444444444444444444444444\r\n"),
        headWith("Content-Length : 4\r\n"),
        headWith("Transfer-Encoding : chunked\r\n"),
        headWith("Transfer-Encoding: gzip, chunked\r\n"),
        headWith("Transfer-Encoding: xchunked\r\n"),
        headWith("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"),
        headWith("Transfer-Encoding: chunked\r\n", "1.0"),
    };
    for (const auto &head : heads) {
        INFO(head);
        const body_server server;
        auto socket = server.connect();
        sendText(socket, head + smuggled);
        const auto answer = receiveUntilClosed(socket);
        CHECK(answer.find("[open]") == std::string::npos);
        CHECK(answer.find("HTTP/1.1 200") == std::string::npos);
        const auto handled = server.handled();
        CHECK(handled.size() <= 1);
        for (const auto &request : handled) {
            CHECK(request.target == "/order");
            CHECK_FALSE(request.body);
        }
    }
}

TEST_CASE("Chunks with an invalid or endless encoding are refused, and nothing after them is read")
{
    const std::vector<std::string> bodies{
        "x\r\n",
        "-1\r\n",
        " 5\r\nhello\r\n0\r\n\r\n",
        "5\nhello\n0\n\n",
        "5\r\nhelloGET /smuggled HTTP/1.1\r\n\r\n",
        "fffffffff\r\n",
        "5;" + std::string(70000, 'x') + "\r\nhello\r\n0\r\n\r\n",
        "0\r\n" + std::string(70000, 'x') + ": y\r\n\r\n",
    };
    for (const auto &body : bodies) {
        INFO(body.substr(0, 60));
        const body_server server;
        auto socket = server.connect();
        sendText(socket, fmt::format("{}{}{}", chunkedHead, body, closingRequest));
        CHECK(receiveUntilClosed(socket).find("HTTP/1.1 200") == std::string::npos);
        REQUIRE(server.handled().size() == 1);
        CHECK_FALSE(server.handled().front().body);
    }
}

TEST_CASE("Requests that follow one another without a pause get exactly their own bodies")
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 20; ++round) {
        std::string text;
        std::string expected;
        for (int i = 0; i < 8; ++i) {
            const std::string body(random() % 300, static_cast<char>('a' + i));
            const auto half = body.size() / 2;
            const bool isChunked = random() % 2 == 0 && half > 0;
            text += isChunked ? fmt::format("{}{}{}{}", chunkedHead, chunk(body.substr(0, half)), chunk(body.substr(half)), lastChunk)
                              : fmt::format("{}{}", headWith(fmt::format("Content-Length: {}\r\n", body.size())), body);
            expected += fmt::format("<{}>", body);
        }
        const body_server server;
        auto socket = server.connect();
        std::thread sender([&] {
            for (std::size_t start = 0; start < text.size();) {
                const auto size = 1 + random() % 700;
                sendText(socket, text.substr(start, size));
                start += size;
            }
            sendText(socket, closingRequest);
        });
        const auto answer = receiveUntilClosed(socket);
        sender.join();
        std::string bodies;
        for (const auto &request : server.handled()) {
            bodies += request.target == "/order" && request.body ? fmt::format("<{}>", *request.body) : "";
        }
        CHECK(bodies == expected);
        CHECK(server.handled().size() == 9);
        CHECK(answer.find("[open]") == std::string::npos);
    }
}
