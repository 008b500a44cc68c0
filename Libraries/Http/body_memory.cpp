// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/body_memory.h"

#include "Libraries/Http/body_eviction.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace vetchpost {

namespace {

/// The longest wait for room. A client that is told to come back reaches another daemon sooner than room comes after that.
constexpr duration longestWait(2000);
/// How often a body that waits for room checks whether others stand still.
constexpr duration checkPeriod(50);
/// A body progresses when it has grown by this many bytes, so that single bytes do not keep it from standing still.
constexpr std::size_t progressBytes = 4096;

std::size_t countedBytes(std::size_t size)
{
    return size - std::min(size, freeBodyMemory);
}

} // namespace

/// The share of one request whose body needs more than freeBodyMemory. Guarded by the mutex of the body_memory unless stated otherwise.
struct body_memory_entry
{
    std::uint64_t number = 0;
    std::size_t reserved = 0;
    bool isComplete = false;
    std::atomic<bool> isGivenUp = false;
    std::optional<instant> waitsSince;
    std::atomic<instant> progressAt;
    /// The size of the body at which it progresses next. Used on the request's thread only.
    std::size_t nextProgress = 0;
};

struct body_memory::private_data
{
    const std::size_t limit;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::size_t used = 0;
    std::uint64_t lastNumber = 0;
    std::uint64_t givenUp = 0;
    std::vector<body_memory_entry *> entries;

    explicit private_data(std::size_t size)
        : limit(size)
    {
    }

    std::size_t lackingFor(const body_memory_entry &entry, std::size_t counted) const
    {
        const auto wanted = used - entry.reserved + counted;
        return wanted - std::min(wanted, limit);
    }

    void giveUpOneFor(const body_memory_entry &requester, std::size_t lacking, instant now)
    {
        std::vector<held_body> bodies;
        std::size_t requesterIndex = 0;
        for (const auto *entry : entries) {
            requesterIndex = entry == &requester ? bodies.size() : requesterIndex;
            const auto waiting = entry->waitsSince ? std::optional(now - *entry->waitsSince) : std::nullopt;
            bodies.push_back(
                {entry->number, entry->reserved, entry->isComplete, entry->isGivenUp, waiting, now - entry->progressAt.load()});
        }
        if (const auto index = bodyToGiveUp(bodies, requesterIndex, lacking)) {
            entries[*index]->isGivenUp = true;
            ++givenUp;
            changed.notify_all();
        }
    }
};

body_memory::body_memory(std::size_t limit)
    : d(std::make_unique<private_data>(limit))
{
}

body_memory::~body_memory() = default;

std::size_t body_memory::used() const
{
    const std::lock_guard lock(d->mutex);
    return d->used;
}

std::uint64_t body_memory::givenUp() const
{
    const std::lock_guard lock(d->mutex);
    return d->givenUp;
}

body_memory_share::body_memory_share(body_memory &memory)
    : m_memory(memory)
{
}

body_memory_share::~body_memory_share()
{
    if (m_entry) {
        auto &memory = *m_memory.d;
        const std::lock_guard lock(memory.mutex);
        memory.used -= m_entry->reserved;
        std::erase(memory.entries, m_entry.get());
        memory.changed.notify_all();
    }
}

bool body_memory_share::append(std::string &body, std::string_view piece, std::size_t mostBytes, instant deadline)
{
    const auto needed = body.size() + piece.size();
    if (needed > body.capacity()) {
        const auto capacity = std::max(needed, std::min(body.capacity() * 2, mostBytes));
        // While the body is copied, its old place is in use as well.
        if (!reserve(body.capacity() + capacity, deadline)) {
            return false;
        }
        body.reserve(capacity);
        shrink(capacity);
    }
    body += piece;
    if (m_entry && body.size() >= m_entry->nextProgress) {
        m_entry->progressAt = monotonicNow();
        m_entry->nextProgress = body.size() + progressBytes;
    }
    return !isGivenUp();
}

bool body_memory_share::isGivenUp() const
{
    return m_entry && m_entry->isGivenUp;
}

void body_memory_share::complete()
{
    if (m_entry) {
        const std::lock_guard lock(m_memory.d->mutex);
        m_entry->isComplete = true;
    }
}

bool body_memory_share::reserve(std::size_t size, instant deadline)
{
    const auto counted = countedBytes(size);
    if (counted == 0) {
        return true;
    }
    auto &memory = *m_memory.d;
    std::unique_lock lock(memory.mutex);
    if (!m_entry) {
        m_entry = std::make_unique<body_memory_entry>();
        m_entry->number = ++memory.lastNumber;
        memory.entries.push_back(m_entry.get());
    }
    const auto began = monotonicNow();
    for (auto now = began; !m_entry->isGivenUp; now = monotonicNow()) {
        const auto lacking = memory.lackingFor(*m_entry, counted);
        if (lacking == 0) {
            memory.used += counted - m_entry->reserved;
            m_entry->reserved = counted;
            m_entry->waitsSince.reset();
            m_entry->progressAt = now;
            return true;
        }
        if (now >= deadline || now - began >= longestWait) {
            ++memory.givenUp;
            return false;
        }
        m_entry->waitsSince = began;
        memory.giveUpOneFor(*m_entry, lacking, now);
        memory.changed.wait_for(lock, checkPeriod);
    }
    return false;
}

void body_memory_share::shrink(std::size_t size)
{
    if (m_entry) {
        auto &memory = *m_memory.d;
        const std::lock_guard lock(memory.mutex);
        const auto counted = countedBytes(size);
        memory.used -= m_entry->reserved - counted;
        m_entry->reserved = counted;
        memory.changed.notify_all();
    }
}

} // namespace vetchpost
