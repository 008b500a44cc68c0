// SPDX-License-Identifier: Apache-2.0
// Guards against a part of a request's body that reaches a replica as a request of its own.
#include "Tests/Fakes/raw_client.h"
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

std::string headOf(const std::string &path, const std::string &framing)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 2500\r\nModel: m\r\n"
                       "Authorization: Bearer good\r\n{}\r\n\r\n",
                       path,
                       framing);
}

std::string bodyOf(const std::string &request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

const std::vector<std::string> paths{"/once/", "/again/", "/stream/"};

} // namespace

TEST_CASE("No part of a request whose client stops inside the body reaches a replica")
{
    for (const auto &path : paths) {
        const scripted_replica replica(successAnswer);
        relay_fixture fixture;
        fixture.addPlainReplica("p-1", replica);
        fixture.addGroupHead("h-1", replica);
        fixture.start();
        for (const auto &part : {headOf(path, "Transfer-Encoding: chunked") + chunk("half an order"),
                                 headOf(path, "Transfer-Encoding: chunked") + chunk("half an order").substr(0, 7),
                                 headOf(path, "Transfer-Encoding: chunked") + chunk("half an order") + "0\r\n",
                                 headOf(path, "Transfer-Encoding: chunked"),
                                 headOf(path, "Content-Length: 26") + "half an order"}) {
            raw_client client(fixture.callers());
            client.send(part);
            client.shutdownSend();
            CHECK(client.receiveAll().starts_with("HTTP/1.1 400"));
        }
        CHECK(replica.requests().empty());
    }
}

TEST_CASE("No part of a request whose client resets its connection inside the body reaches a replica")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(fixture.callers().host, fixture.callers().port));
        const auto part = headOf("/once/", "Transfer-Encoding: chunked") + chunk("half an order");
        socket.sendBytes(part.data(), static_cast<int>(part.size()));
        std::this_thread::sleep_for(duration(50));
        socket.setLinger(true, 0);
        socket.close();
    }
    std::this_thread::sleep_for(duration(300));
    CHECK(replica.requests().empty());
}

TEST_CASE("A request reaches a replica with exactly its own body when another one follows on its connection")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    const auto first = headOf("/once/", "Transfer-Encoding: chunked") + chunk("first ") + chunk("order") + "0\r\n\r\n";
    const auto second = headOf("/once/", "Content-Length: 12\r\nConnection: close") + "second order";
    raw_client client(fixture.callers());
    client.send(first + second);
    CHECK(client.receiveAll().find("[open]") == std::string::npos);
    const auto requests = replica.requests();
    REQUIRE(requests.size() == 2);
    CHECK(bodyOf(requests[0]) == "first order");
    CHECK(bodyOf(requests[1]) == "second order");
}

TEST_CASE("A request whose head leaves the end of its body open reaches no replica")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    const auto smuggled = headOf("/once/", "Content-Length: 0");
    for (const auto *framing : {"Content-Length: 4\r\nTransfer-Encoding: chunked",
                                "Content-Length: 0\r\nContent-Length: 4",
                                "Content-Length : 4",
                                "Transfer-Encoding : chunked",
                                "Transfer-Encoding: xchunked"}) {
        INFO(framing);
        raw_client client(fixture.callers());
        client.send(headOf("/once/", framing) + smuggled);
        const auto answer = client.receiveAll();
        CHECK(answer.find("[open]") == std::string::npos);
        CHECK(answer.find("HTTP/1.1 200") == std::string::npos);
    }
    CHECK(replica.requests().empty());
}

TEST_CASE("No part of a request whose client stops inside the head reaches a replica")
{
    constexpr std::size_t step = 4;
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.addGroupHead("h-1", replica);
    fixture.start();
    for (const auto &path : paths) {
        const auto head = headOf(path, "Content-Length: 13");
        for (std::size_t length = 1; length < head.size(); length += step) {
            CAPTURE(path, length);
            raw_client client(fixture.callers());
            client.send(head.substr(0, length));
            client.shutdownSend();
            CHECK(client.receiveAll().starts_with("HTTP/1.1 400"));
        }
    }
    CHECK(replica.requests().empty());
}
