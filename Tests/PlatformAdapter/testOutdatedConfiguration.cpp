// SPDX-License-Identifier: Apache-2.0
// A whole daemon whose link to the key-value service fails while the operator changes the configuration.
#include "Tests/Fakes/raw_client.h"
#include "Tests/Fakes/waiting.h"
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/PlatformAdapter/sharedStore.h"

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr duration configurationApply(1000);
constexpr duration keyRevocation(3000);

/// Returns the configuration of the fixtures with another version, key and prefix of the route for plain requests.
std::string makeConfiguration(int version, const std::string &key, const std::string &prefix = "/again/")
{
    std::string text = configurationText;
    const auto replace = [&](const std::string &from, const std::string &to) { text.replace(text.find(from), from.size(), to); };
    replace(R"("Version":1,)", fmt::format(R"("Version":{},)", version));
    replace(R"(["good"])", fmt::format(R"(["{}"])", key));
    replace(R"("PathPrefix":"/again/")", fmt::format(R"("PathPrefix":"{}")", prefix));
    return text;
}

class cut_daemon_fixture
{
public:
    cut_daemon_fixture()
    {
        m_store.write("op/config", makeConfiguration(1, "good"));
        m_store.write(
            "servers/r-1",
            fmt::format(
                R"({{"Service":"plain","Address":"{}","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}})",
                m_replica.address()));
        entry_settings settings;
        settings.daemon = daemon_id("d1");
        settings.dataCentre = data_centre_id("z");
        settings.callers = m_callers = freePort();
        settings.readiness = freePort();
        settings.peers = freePort();
        settings.maximumConnections = 16;
        settings.processorShare = 16;
        settings.keyRevocation = keyRevocation;
        settings.configurationApply = configurationApply;
        settings.stopGrace = duration(3000);
        settings.leaseTime = duration(2000);
        settings.isFirstStart = true;
        m_daemon = std::make_unique<entry_daemon>(
            settings, std::make_unique<platform_dialect>(), [this](const endpoint & /*address*/, metrics & /*counters*/) {
                return std::make_unique<linked_store>(m_store, m_link);
            });
        m_daemon->start();
        REQUIRE(isWithin(duration(5000), [&] { return request("good").status == 200; }));
    }

    client_answer request(const std::string &key, const std::string &path = "/again/x") const
    {
        http_call call;
        call.to = m_callers;
        call.method = "POST";
        call.target = path;
        call.body = "question";
        call.headers = headersWith(key);
        return sendCall(call);
    }

    /// Sends the head of a request, and returns the connection on which its body of eight bytes is due.
    raw_client beginRequest(const std::string &key) const
    {
        std::string text = "POST /again/x HTTP/1.1\r\nContent-Length: 8\r\n";
        for (const auto &header : headersWith(key)) {
            text += header.name + ": " + header.value + "\r\n";
        }
        raw_client client(m_callers);
        client.send(text + "\r\n");
        return client;
    }

    void setLinkUp(bool isUp)
    {
        m_link.isUp = isUp;
    }

    void writeConfiguration(const std::string &text)
    {
        m_store.write("op/config", text);
    }

private:
    static std::vector<http_header> headersWith(const std::string &key)
    {
        return {{"Host", "a.example"},
                {"Attempt-Id", "a1"},
                {"Deadline-Ms", "9000"},
                {"Model", "m"},
                {"Connection", "close"},
                {"Authorization", "Bearer " + key}};
    }

    shared_store m_store;
    store_link m_link;
    scripted_replica m_replica{successAnswer};
    endpoint m_callers;
    std::unique_ptr<entry_daemon> m_daemon;
};

} // namespace

// The request's head arrives while the daemon is cut off, its body once the daemon knows that the configuration is the newest again.
TEST_CASE("A key that was withdrawn while the daemon was cut off is not accepted by the configuration from before")
{
    cut_daemon_fixture fixture;
    fixture.setLinkUp(false);
    std::this_thread::sleep_for(duration(200));
    fixture.writeConfiguration(makeConfiguration(2, "other"));
    std::this_thread::sleep_for(keyRevocation + duration(300));
    auto client = fixture.beginRequest("good");
    std::this_thread::sleep_for(duration(200));
    fixture.setLinkUp(true);
    REQUIRE(isWithin(duration(3000), [&] { return fixture.request("other").status == 200; }));
    client.send("question");
    const auto answer = client.receiveAll();
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 401"));
}

// Guards against a final refusal for a key or a route that only a newer configuration has: clients do not come back after it.
TEST_CASE("A daemon that may lack a newer configuration refuses an unknown key or route for the time being only")
{
    cut_daemon_fixture fixture;
    CHECK(fixture.request("other").status == 401);
    CHECK(fixture.request("good", "/later/x").status == 404);
    fixture.setLinkUp(false);
    fixture.writeConfiguration(makeConfiguration(2, "other", "/later/"));
    std::this_thread::sleep_for(configurationApply + duration(300));
    for (const auto &answer : {fixture.request("other"), fixture.request("good", "/later/x")}) {
        CHECK(answer.status == 503);
        CHECK(std::any_of(
            answer.headers.begin(), answer.headers.end(), [](const http_header &header) { return header.name == "Retry-After"; }));
    }
    CHECK(fixture.request("good").status == 200);
    fixture.setLinkUp(true);
    REQUIRE(isWithin(duration(3000), [&] { return fixture.request("other", "/later/x").status == 200; }));
    CHECK(fixture.request("good", "/later/x").status == 401);
    CHECK(fixture.request("other", "/again/x").status == 404);
}
