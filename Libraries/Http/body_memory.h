// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace vetchpost {

struct body_memory_entry;

/// What every request may hold of its body however much the others do, in bytes.
constexpr std::size_t freeBodyMemory = 32768;
/// The limit of a process that states none, in bytes.
constexpr std::size_t defaultBodyMemory = 40U << 20U;

/// Bounds the memory that the requests of a process together use for their bodies, from the arrival of the first bytes until the request is
/// answered. Thread-safe.
class body_memory
{
public:
    /// \a limit, in bytes, is for what requests hold beyond freeBodyMemory each.
    explicit body_memory(std::size_t limit = defaultBodyMemory);
    ~body_memory();
    body_memory(const body_memory &) = delete;
    body_memory &operator=(const body_memory &) = delete;

    /// The bytes that requests hold beyond freeBodyMemory each.
    std::size_t used() const;
    /// The number of bodies that were given up for lack of memory.
    std::uint64_t givenUp() const;

private:
    friend class body_memory_share;
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// What one request holds of a body_memory. Returns it when it is destroyed. Used on one thread.
class body_memory_share
{
public:
    explicit body_memory_share(body_memory &memory);
    ~body_memory_share();
    body_memory_share(const body_memory_share &) = delete;
    body_memory_share &operator=(const body_memory_share &) = delete;

    /// Appends a piece to the body, which will have at most \a mostBytes. Waits for room if there is none, not beyond \a deadline. Returns
    /// false and changes nothing if none comes or the body is given up.
    bool append(std::string &body, std::string_view piece, std::size_t mostBytes, instant deadline);
    /// Whether the rest of the body is no longer awaited, since other requests need its memory.
    bool isGivenUp() const;
    /// Marks the body as complete. It is then kept until the request ends.
    void complete();

private:
    bool reserve(std::size_t size, instant deadline);
    void shrink(std::size_t size);

    body_memory &m_memory;
    /// Empty as long as the body needs no more than freeBodyMemory.
    std::unique_ptr<body_memory_entry> m_entry;
};

} // namespace vetchpost
