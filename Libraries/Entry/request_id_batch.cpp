// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/request_id_batch.h"

#include <algorithm>
#include <utility>

namespace vetchpost {

namespace {

/// Maximum number of ids in each list of a batch: several times what a daemon receives in half a second, the time between two batches, at
/// the largest target load.
constexpr std::size_t maximumIds = 256;
/// Longer ids are truncated, since clients choose the ids of their requests. The usual ones have 16 characters.
constexpr std::size_t maximumIdLength = 64;

std::string joined(const std::vector<std::string> &ids)
{
    std::string text;
    for (const auto &id : ids) {
        text += text.empty() ? "" : " ";
        text += id;
    }
    return text;
}

} // namespace

void request_id_batch::addArrival(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    add(request, m_arrived);
}

void request_id_batch::addServed(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    eraseArrival(request);
    add(request, m_served);
}

void request_id_batch::removeArrival(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    eraseArrival(request);
}

request_id_lists request_id_batch::drain()
{
    std::vector<std::string> arrived;
    std::vector<std::string> served;
    request_id_lists lines;
    {
        const std::lock_guard lock(m_mutex);
        arrived.swap(m_arrived);
        served.swap(m_served);
        lines.leftOut = std::exchange(m_leftOut, 0);
    }
    lines.arrived = joined(arrived);
    lines.served = joined(served);
    return lines;
}

/// Adds an id unless it is empty or the list is full. The caller holds the mutex.
void request_id_batch::add(const std::string &request, std::vector<std::string> &ids)
{
    if (request.empty()) {
        return;
    }
    if (ids.size() < maximumIds) {
        ids.push_back(request.substr(0, maximumIdLength));
    } else {
        ++m_leftOut;
    }
}

/// Removes an arrival if it is still in this batch. The caller holds the mutex.
void request_id_batch::eraseArrival(const std::string &request)
{
    const auto found = std::find(m_arrived.begin(), m_arrived.end(), request.substr(0, maximumIdLength));
    if (found != m_arrived.end()) {
        m_arrived.erase(found);
    }
}

} // namespace vetchpost
