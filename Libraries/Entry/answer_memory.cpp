// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/answer_memory.h"

#include <algorithm>

namespace vetchpost {

answer_memory::answer_memory(std::size_t limit)
    : m_limit(limit)
{
}

answer_memory_share::answer_memory_share(answer_memory &memory)
    : m_memory(memory)
{
}

answer_memory_share::~answer_memory_share()
{
    m_memory.m_used -= m_reserved;
}

bool answer_memory_share::resize(std::size_t size)
{
    const auto needed = size - std::min(size, freeAnswerMemory);
    if (needed > m_reserved) {
        const auto more = needed - m_reserved;
        if (m_memory.m_used.fetch_add(more) + more > m_memory.m_limit) {
            m_memory.m_used -= more;
            return false;
        }
    } else {
        m_memory.m_used -= m_reserved - needed;
    }
    m_reserved = needed;
    return true;
}

bool answer_memory_share::append(std::string &answer, std::string_view piece)
{
    const auto needed = answer.size() + piece.size();
    if (needed > answer.capacity()) {
        const auto capacity = std::max(needed, answer.capacity() * 2);
        if (!resize(answer.capacity() + capacity)) {
            return false;
        }
        answer.reserve(capacity);
        resize(capacity);
    }
    answer += piece;
    return true;
}

} // namespace vetchpost
