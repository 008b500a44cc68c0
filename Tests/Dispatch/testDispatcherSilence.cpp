// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Dispatch/dispatcher_silence.h"
#include "Libraries/Dispatch/finished_tickets.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

instant at(int milliseconds)
{
    return instant(duration(milliseconds));
}

} // namespace

TEST_CASE("A dispatcher that does not answer twice is asked by one request after one, two and four seconds")
{
    dispatcher_silence silence;
    CHECK_FALSE(recordTimeout(silence, at(0), at(25)));
    CHECK(mayAsk(silence, at(30)));
    CHECK(recordTimeout(silence, at(30), at(55)));
    CHECK_FALSE(mayAsk(silence, at(1054)));
    CHECK(mayAsk(silence, at(1055)));
    CHECK_FALSE(mayAsk(silence, at(1056)));
    CHECK_FALSE(recordTimeout(silence, at(1055), at(1080)));
    CHECK_FALSE(mayAsk(silence, at(3079)));
    CHECK(mayAsk(silence, at(3080)));
    CHECK_FALSE(recordTimeout(silence, at(3080), at(3105)));
    CHECK(mayAsk(silence, at(7105)));
    CHECK_FALSE(recordTimeout(silence, at(7105), at(7130)));
    CHECK_FALSE(mayAsk(silence, at(11129)));
    CHECK(mayAsk(silence, at(11130)));
    CHECK(recordAnswer(silence));
    CHECK(mayAsk(silence, at(11131)));
    CHECK_FALSE(recordAnswer(silence));
}

// At hundreds of requests per second dozens are under way when a dispatcher is lost.
TEST_CASE("Requests that were sent before a dispatcher became silent do not lengthen its pause")
{
    dispatcher_silence silence;
    recordTimeout(silence, at(0), at(25));
    REQUIRE(recordTimeout(silence, at(1), at(26)));
    for (int sent = 2; sent < 20; ++sent) {
        CHECK_FALSE(recordTimeout(silence, at(sent), at(sent + 25)));
    }
    CHECK(mayAsk(silence, at(1026)));
}

TEST_CASE("An answer between two timeouts keeps a dispatcher from being silent")
{
    dispatcher_silence silence;
    recordTimeout(silence, at(0), at(25));
    recordAnswer(silence);
    CHECK_FALSE(recordTimeout(silence, at(30), at(55)));
    CHECK(mayAsk(silence, at(56)));
}

TEST_CASE("Tickets are known once, for each asker, and the oldest are forgotten")
{
    finished_tickets tickets;
    const endpoint one{"10.0.0.1", 1};
    CHECK(addTicket(tickets, one, 7, at(0)));
    CHECK_FALSE(addTicket(tickets, one, 7, at(1)));
    CHECK(addTicket(tickets, {"10.0.0.1", 2}, 7, at(1)));
    for (std::uint64_t ticket = 100; ticket < 100 + ticketsPerAsker; ++ticket) {
        addTicket(tickets, one, ticket, at(2));
    }
    CHECK_FALSE(hasTicket(tickets, one, 7));
    CHECK(hasTicket(tickets, one, 100));
    // Forged senders must not fill the memory.
    for (std::uint16_t port = 10; port < 4000; ++port) {
        addTicket(tickets, {"10.9.9.9", port}, 1, at(3));
    }
    CHECK(tickets.askers.size() <= maxAskers);
    dropOldAskers(tickets, at(100000));
    CHECK(tickets.askers.empty());
}
