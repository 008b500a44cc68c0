// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace vetchpost {

/// The ids of requests without log lines of their own, for one log line that lists many of them.
struct request_id_lists
{
    /// Requests that have arrived since the last batch and are still in flight; separated by spaces.
    std::string arrived;
    /// Requests that the first replica served in time; separated by spaces.
    std::string served;
    /// Number of ids that were omitted from both lists because the batch was full.
    std::size_t leftOut = 0;

    bool isEmpty() const
    {
        return arrived.empty() && served.empty() && leftOut == 0;
    }
};

/// Collects request ids until the next batch is logged. Thread-safe.
class request_id_batch
{
public:
    /// Adds a request that has arrived.
    void addArrival(const std::string &request);
    /// Adds a request that the first replica served in time.
    void addServed(const std::string &request);
    /// Removes the arrival of a request that has log lines of its own.
    void removeArrival(const std::string &request);
    /// Returns the ids that were collected since the last call, and clears them.
    request_id_lists drain();

private:
    void add(const std::string &request, std::vector<std::string> &ids);
    void eraseArrival(const std::string &request);

    std::mutex m_mutex;
    std::vector<std::string> m_arrived;
    std::vector<std::string> m_served;
    std::size_t m_leftOut = 0;
};

} // namespace vetchpost
