// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/answer_memory.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

TEST_CASE("Answers share their memory, and each may hold a usual one whatever the others do")
{
    answer_memory memory(100000);
    answer_memory_share large(memory);
    CHECK(large.resize(freeAnswerMemory + 90000));
    answer_memory_share other(memory);
    CHECK(other.resize(freeAnswerMemory));
    CHECK_FALSE(other.resize(freeAnswerMemory + 10001));
    CHECK(other.resize(freeAnswerMemory + 10000));
    CHECK(large.resize(10));
    CHECK(other.resize(freeAnswerMemory + 100000));
}

TEST_CASE("A share returns its memory with its request, and an answer that does not fit stays as it is")
{
    answer_memory memory(100000);
    {
        answer_memory_share first(memory);
        std::string answer;
        CHECK(first.append(answer, std::string(60000, 'x')));
        CHECK_FALSE(first.append(answer, std::string(60000, 'x')));
        CHECK(answer.size() == 60000);
    }
    answer_memory_share second(memory);
    CHECK(second.resize(freeAnswerMemory + 100000));
}
