// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>

namespace vetchpost {

/// Bounds the memory that all requests of a daemon together use for answers that are received before they are sent.
class answer_memory
{
public:
    /// \a limit, in bytes, is for what requests hold beyond freeAnswerMemory each.
    explicit answer_memory(std::size_t limit);

private:
    friend class answer_memory_share;
    const std::size_t m_limit;
    std::atomic<std::size_t> m_used = 0;
};

/// What every request may hold however much the others do, in bytes, so that a few faulty replicas fail no usual answers.
constexpr std::size_t freeAnswerMemory = 32768;

/// What one request holds of an answer_memory. Returns it when it is destroyed.
class answer_memory_share
{
public:
    explicit answer_memory_share(answer_memory &memory);
    ~answer_memory_share();
    answer_memory_share(const answer_memory_share &) = delete;
    answer_memory_share &operator=(const answer_memory_share &) = delete;

    /// Changes the share to \a size bytes. Returns false and changes nothing if there is not enough left.
    bool resize(std::size_t size);
    /// Appends a piece to an answer whose memory this is the share of. Returns false and changes nothing if there is not enough left, also
    /// for the copy that is made as the answer grows.
    bool append(std::string &answer, std::string_view piece);

private:
    answer_memory &m_memory;
    std::size_t m_reserved = 0;
};

} // namespace vetchpost
