// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/request_roll.h"

#include <algorithm>
#include <utility>

namespace vetchpost {

namespace {

/// Requests between two rolls that are named: several times what a daemon takes in half a second at the largest target.
constexpr std::size_t mostNamed = 256;
/// Clients choose their requests' ids; the ones that are in use have 16 characters.
constexpr std::size_t longestId = 64;

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

void request_roll::noteArrival(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    name(request, m_arrived);
}

void request_roll::noteServed(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    dropArrival(request);
    name(request, m_served);
}

void request_roll::noteTold(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    dropArrival(request);
}

roll_lines request_roll::take()
{
    std::vector<std::string> arrived;
    std::vector<std::string> served;
    roll_lines lines;
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

/// The mutex is held.
void request_roll::name(const std::string &request, std::vector<std::string> &ids)
{
    if (request.empty()) {
        return;
    }
    if (ids.size() < mostNamed) {
        ids.push_back(request.substr(0, longestId));
    } else {
        ++m_leftOut;
    }
}

/// The mutex is held. What a roll has named already is not here any more.
void request_roll::dropArrival(const std::string &request)
{
    const auto found = std::find(m_arrived.begin(), m_arrived.end(), request.substr(0, longestId));
    if (found != m_arrived.end()) {
        m_arrived.erase(found);
    }
}

} // namespace vetchpost
