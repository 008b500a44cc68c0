// SPDX-License-Identifier: Apache-2.0
// Guards against clients that make a daemon wait for, or keep, more of a request than it can use.
#include "Tests/Fakes/raw_client.h"
#include "Tests/PlatformAdapter/relayFixture.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("A head above the configuration's limit is refused before its end")
{
    const scripted_replica replica(successAnswer);
    relay_fixture fixture;
    fixture.addPlainReplica("p-1", replica);
    fixture.start();
    std::string head = "GET /again/ HTTP/1.1\r\nHost: a.example\r\n";
    for (int i = 0; i < 20; ++i) {
        head += fmt::format("X-Field-{}: {}\r\n", i, std::string(1000, 'x'));
    }
    raw_client client(fixture.callers());
    client.send(head);
    CHECK(client.receiveAll().starts_with("HTTP/1.1 431"));
}
