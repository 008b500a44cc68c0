// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace vetchpost {

/// The ids of requests that there is nothing else to say of, for one line of the log that names many.
struct roll_lines
{
    /// Came since the last roll and are still held; separated by spaces.
    std::string arrived;
    /// Were served in time by the first replica.
    std::string served;
    /// Of both, for which there was no room.
    std::size_t leftOut = 0;

    bool isEmpty() const
    {
        return arrived.empty() && served.empty() && leftOut == 0;
    }
};

/// Keeps the ids of requests until the next roll. Safe to use from several threads.
class request_roll
{
public:
    void noteArrival(const std::string &request);
    /// It was served in time by the first replica.
    void noteServed(const std::string &request);
    /// It has lines of its own.
    void noteTold(const std::string &request);
    /// What was noted since the last time.
    roll_lines take();

private:
    void name(const std::string &request, std::vector<std::string> &ids);
    void dropArrival(const std::string &request);

    std::mutex m_mutex;
    std::vector<std::string> m_arrived;
    std::vector<std::string> m_served;
    std::size_t m_leftOut = 0;
};

} // namespace vetchpost
