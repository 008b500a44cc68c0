// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/slot_messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace vetchpost;

namespace {

slot_request sampleRequest()
{
    slot_request request;
    request.ticket = (1ULL << 53U) + 7;
    request.service = service_id("large");
    request.model = model_id("quoted \"m\"");
    request.organisation = organisation_id("t1");
    request.priority = 2;
    request.promptTokens = 900;
    request.expectedTokens = 120;
    request.untilLate = duration(-40);
    request.timeLeft = duration(2500);
    request.dataCentre = data_centre_id("z");
    request.excluded = {instance_id("h-1"), instance_id("h-2")};
    request.hasReturned = true;
    return request;
}

std::string encoded(const slot_message &message)
{
    const auto bytes = encodeSlotMessage(message);
    REQUIRE(bytes);
    return *bytes;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    REQUIRE(text.find(from) != std::string::npos);
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("Slot messages survive the wire")
{
    const std::vector<slot_release> releases{{5, slot_end::done}, {6, slot_end::lost}};
    const auto read = decodeSlotMessage(encoded(slot_request_message{sampleRequest(), releases}));
    REQUIRE(read);
    const auto &request = std::get<slot_request_message>(*read).request;
    const auto sent = sampleRequest();
    CHECK(request.ticket == sent.ticket);
    CHECK(request.model == sent.model);
    CHECK(request.untilLate == sent.untilLate);
    CHECK(request.excluded == sent.excluded);
    CHECK(request.hasReturned);
    CHECK(std::get<slot_request_message>(*read).releases == releases);

    const auto answer = decodeSlotMessage(encoded(slot_answer{9, {}, slot_verdict::granted, instance_id("h"), duration(12)}));
    REQUIRE(answer);
    CHECK(std::get<slot_answer>(*answer).head == instance_id("h"));
    CHECK(std::get<slot_answer>(*answer).wait == duration(12));
    CHECK(std::get<slot_release_message>(*decodeSlotMessage(encoded(slot_release_message{releases}))).releases == releases);
}

TEST_CASE("A message repeats the last eight releases, and fewer where it would be larger than a datagram")
{
    std::vector<slot_release> releases;
    for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
        releases.push_back({ticket << 40U, slot_end::done});
    }
    const auto read = std::get<slot_release_message>(*decodeSlotMessage(encoded(slot_release_message{releases})));
    CHECK(read.releases == std::vector(releases.end() - 8, releases.end()));

    auto request = sampleRequest();
    request.organisation = organisation_id(std::string(930, 'o'));
    const auto bytes = encoded(slot_request_message{request, releases});
    CHECK(bytes.size() <= maxSlotDatagram);
    const auto fewer = std::get<slot_request_message>(*decodeSlotMessage(bytes)).releases;
    CHECK(fewer.size() < 8);
    CHECK(fewer.back() == releases.back());
    request.organisation = organisation_id(std::string(1200, 'o'));
    CHECK_FALSE(encodeSlotMessage(slot_request_message{request, {}}));
}

TEST_CASE("Numbers out of range are clamped, and messages that are not valid are rejected")
{
    const auto text = encoded(slot_request_message{sampleRequest(), {}});
    const auto huge = decodeSlotMessage(replaced(replaced(text, "\"in\":900", "\"in\":1e300"), "\"left\":2500", "\"left\":-3"));
    REQUIRE(huge);
    CHECK(std::get<slot_request_message>(*huge).request.promptTokens == 1000000);
    CHECK(std::get<slot_request_message>(*huge).request.timeLeft == duration());

    const auto answer = encoded(slot_answer{9, {}, slot_verdict::granted, instance_id("h"), duration(12)});
    for (const auto &invalid : {replaced(text, "\"v\":1", "\"v\":2"),
                                replaced(text, "\"v\":1", "\"w\":1"),
                                replaced(text, "\"in\":900", "\"in\":\"many\""),
                                replaced(text, "\"t\":", "\"t\":-"),
                                replaced(text, "\"s\":\"large\"", "\"s\":7"),
                                replaced(text, "\"late\":-40,", ""),
                                replaced(answer, "granted", "given"),
                                replaced(answer, "\"h\":\"h\"", "\"h\":\"\""),
                                std::string(R"({"v":1,"k":"free","r":"1.4"})"),
                                std::string(R"({"v":1,"k":"free","r":"1"})"),
                                std::string(R"({"v":1,"k":"free","r":"-1.0"})"),
                                std::string(R"({"v":1,"k":"free","r":""})"),
                                std::string(R"({"v":1,"k":"free","r":"1.0 1.0 1.0 1.0 1.0 1.0 1.0 1.0 1.0"})"),
                                std::string(R"({"v":1,"k":"free","r":[[1,0]]})"),
                                std::string("[]"),
                                std::string()}) {
        CHECK_FALSE(decodeSlotMessage(invalid));
    }
}

TEST_CASE("No bytes crash the decoder, and cut messages are rejected")
{
    const auto text = encoded(slot_request_message{sampleRequest(), {{5, slot_end::done}}});
    for (std::size_t length = 0; length < text.size(); ++length) {
        CHECK_FALSE(decodeSlotMessage(text.substr(0, length)));
    }
    CHECK(rc::check("any change of some bytes is rejected or read", [&](const std::vector<std::pair<unsigned, char>> &changes) {
        auto bytes = text;
        for (const auto &[position, value] : changes) {
            bytes[position % bytes.size()] = value;
        }
        (void)decodeSlotMessage(bytes);
    }));
}
