// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/tunnel_messages.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const identity_key key(std::string(64, 'a'));
const endpoint proxy{"10.0.0.1", 7000};

tunnel_request exampleRequest()
{
    tunnel_request request;
    request.replica = {instance_id("i-1"), replica_incarnation(7)};
    request.service = service_id("large");
    request.terms = {request_id("a1"), organisation_id("t1"), 3, duration(300), duration(2500)};
    request.run = 18446744073709551615ULL;
    request.nonce = 12;
    return request;
}

std::vector<http_header> changed(std::vector<http_header> headers, const std::string &name, const std::string &value)
{
    for (auto &header : headers) {
        header.value = header.name == name ? value : header.value;
    }
    return headers;
}

} // namespace

TEST_CASE("A request for a tunnel is read as it was written, and its digest covers all that is acted on")
{
    const auto headers = tunnelHeaders(exampleRequest(), proxy, key);
    const auto read = readTunnelRequest(instance_id("i-1"), headers);
    REQUIRE(read);
    CHECK(read->replica == exampleRequest().replica);
    CHECK(read->service == service_id("large"));
    CHECK(read->terms.request == request_id("a1"));
    CHECK(read->terms.organisation == organisation_id("t1"));
    CHECK(read->terms.priority == 3);
    CHECK(read->terms.patience == duration(300));
    CHECK(read->terms.timeLeft == duration(2500));
    CHECK(read->run == exampleRequest().run);
    CHECK(read->nonce == 12);
    CHECK(isAuthentic(*read, proxy, headers, key));

    CHECK_FALSE(isAuthentic(*read, {"10.0.0.2", 7000}, headers, key));
    CHECK_FALSE(isAuthentic(*read, proxy, headers, identity_key(std::string(64, 'b'))));
    CHECK_FALSE(isAuthentic(*readTunnelRequest(instance_id("i-2"), headers), proxy, headers, key));
    for (const auto *name : {"Vetchpost-Incarnation",
                             "Vetchpost-Service",
                             "Vetchpost-Organisation",
                             "Vetchpost-Priority",
                             "Vetchpost-Patience-Ms",
                             "Vetchpost-Time-Left-Ms",
                             "Vetchpost-Run",
                             "Vetchpost-Nonce",
                             "Vetchpost-Digest"}) {
        INFO(name);
        const auto forged = changed(headers, name, "9");
        const auto request = readTunnelRequest(instance_id("i-1"), forged);
        REQUIRE(request);
        CHECK_FALSE(isAuthentic(*request, proxy, forged, key));
    }
}

TEST_CASE("A request for a tunnel with a field that is missing or out of range is not read")
{
    const auto headers = tunnelHeaders(exampleRequest(), proxy, key);
    for (const auto *name : {"Vetchpost-Incarnation",
                             "Vetchpost-Priority",
                             "Vetchpost-Patience-Ms",
                             "Vetchpost-Time-Left-Ms",
                             "Vetchpost-Run",
                             "Vetchpost-Nonce"}) {
        for (const auto *value : {"", "-1", "x", "1x", "18446744073709551616"}) {
            INFO(name << " " << value);
            CHECK_FALSE(readTunnelRequest(instance_id("i-1"), changed(headers, name, value)));
        }
    }
    CHECK_FALSE(readTunnelRequest(instance_id("i-1"), changed(headers, "Vetchpost-Priority", "10")));
    CHECK_FALSE(readTunnelRequest(instance_id("i-1"), changed(headers, "Vetchpost-Time-Left-Ms", "3600001")));
    CHECK_FALSE(readTunnelRequest(instance_id("i-1"), changed(headers, "Vetchpost-Service", "")));
    CHECK_FALSE(readTunnelRequest(instance_id(), headers));
    CHECK_FALSE(readTunnelRequest(instance_id("i-1"), {}));
}

TEST_CASE("Each refusal of a tunnel is read by its name, and an unknown one is none")
{
    for (std::size_t number = 0; number < static_cast<std::size_t>(tunnel_refusal_kind::count); ++number) {
        const auto kind = static_cast<tunnel_refusal_kind>(number);
        CHECK(readTunnelRefusal({{tunnelRefusalHeader, std::string(tunnelRefusalName(kind))}}) == kind);
        CHECK(tunnelRefusalStatus(kind) >= 400);
    }
    CHECK_FALSE(readTunnelRefusal({{tunnelRefusalHeader, "of a later version"}}));
    CHECK_FALSE(readTunnelRefusal({}));
}
