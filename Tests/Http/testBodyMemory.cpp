// SPDX-License-Identifier: Apache-2.0
// Guards against bodies that together use more memory than a process has, and against unfinished ones that keep it from complete ones.
#include "Libraries/Http/body_eviction.h"
#include "Libraries/Http/body_memory.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace vetchpost;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
constexpr duration soon(100);

held_body growing(std::uint64_t number, std::size_t reserved)
{
    return {number, reserved, false, false, std::nullopt, duration(10)};
}

held_body still(std::uint64_t number, std::size_t reserved, duration time)
{
    return {number, reserved, false, false, std::nullopt, time};
}

held_body waiting(std::uint64_t number, duration time)
{
    return {number, mebibyte, false, false, time, duration(1000)};
}

held_body complete(std::uint64_t number)
{
    return {number, 4 * mebibyte, true, false, std::nullopt, duration(5000)};
}

instant in(duration time)
{
    return monotonicNow() + time;
}

/// Appends pieces until the body has \a size bytes.
bool fill(body_memory_share &share, std::string &body, std::size_t size)
{
    const std::string piece(16384, 'x');
    bool hasRoom = true;
    while (hasRoom && body.size() < size) {
        hasRoom = share.append(body, piece, 4 * mebibyte, in(duration(5000)));
    }
    return hasRoom;
}

} // namespace

TEST_CASE("The largest body that stands still is given up for one that grows, and no complete one is")
{
    const std::vector<held_body> bodies{
        complete(1), still(2, mebibyte, duration(900)), still(3, 2 * mebibyte, duration(400)), growing(4, mebibyte)};
    CHECK(bodyToGiveUp(bodies, 3, 1) == 2U);
    CHECK_FALSE(bodyToGiveUp({complete(1), growing(2, mebibyte)}, 1, 1));
}

TEST_CASE("No further body is given up while enough memory is about to be returned")
{
    auto leaving = still(1, 2 * mebibyte, duration(900));
    leaving.isGivenUp = true;
    const std::vector<held_body> bodies{leaving, still(2, mebibyte, duration(900)), growing(3, mebibyte)};
    CHECK_FALSE(bodyToGiveUp(bodies, 2, 2 * mebibyte));
    CHECK(bodyToGiveUp(bodies, 2, 2 * mebibyte + 1) == 1U);
}

TEST_CASE("Of bodies that all wait for each other's room, the one that began first gets it")
{
    const std::vector<held_body> bodies{waiting(1, duration(300)), waiting(2, duration(300)), waiting(3, duration(300))};
    CHECK(bodyToGiveUp(bodies, 0, 1) == 2U);
    CHECK(bodyToGiveUp(bodies, 1, 1) == 2U);
    CHECK_FALSE(bodyToGiveUp(bodies, 2, 1));
    CHECK_FALSE(bodyToGiveUp({waiting(1, duration(100)), growing(2, mebibyte)}, 0, 1));
}

TEST_CASE("Bodies together stay under the limit, and small ones need no part of it")
{
    body_memory memory(mebibyte);
    body_memory_share large(memory);
    std::string first;
    CHECK(fill(large, first, mebibyte / 2));
    large.complete();
    CHECK(memory.used() <= mebibyte);
    body_memory_share other(memory);
    std::string second;
    CHECK_FALSE(fill(other, second, mebibyte));
    CHECK(memory.used() <= mebibyte);
    body_memory_share small(memory);
    std::string third;
    CHECK(small.append(third, std::string(freeBodyMemory / 2, 'x'), 4 * mebibyte, in(soon)));
    CHECK(memory.givenUp() == 1);
}

TEST_CASE("A body that stands still makes room for another one, and its memory is returned")
{
    body_memory memory(mebibyte);
    std::atomic<bool> hasFilled = false;
    std::thread stalled([&] {
        body_memory_share share(memory);
        std::string body;
        fill(share, body, mebibyte / 2);
        hasFilled = true;
        while (!share.isGivenUp()) {
            std::this_thread::sleep_for(duration(5));
        }
    });
    while (!hasFilled) {
        std::this_thread::sleep_for(duration(1));
    }
    {
        body_memory_share share(memory);
        std::string body;
        CHECK(fill(share, body, mebibyte / 2));
    }
    stalled.join();
    CHECK(memory.used() == 0);
}

TEST_CASE("Of bodies that grow at once beyond the limit, some are completed")
{
    body_memory memory(8 * mebibyte);
    std::atomic<int> completed = 0;
    std::vector<std::thread> clients;
    constexpr int clientCount = 12;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&] {
            body_memory_share share(memory);
            std::string body;
            if (fill(share, body, 2 * mebibyte)) {
                share.complete();
                ++completed;
            }
        });
    }
    for (auto &client : clients) {
        client.join();
    }
    CHECK(completed > 0);
    CHECK(memory.used() == 0);
}
