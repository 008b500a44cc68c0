// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_server.h"

#include <json/value.h>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace vetchpost::test {

/// The events of a stand-in in order: numbered lines, each with the machine's monotonic time in milliseconds. Thread-safe.
class event_journal
{
public:
    void recordEvent(const std::string &what, Json::Value fields);
    /// Returns the lines after the line with the given number, each a JSON object.
    std::string linesAfter(std::uint64_t number) const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::deque<std::pair<std::uint64_t, std::string>> m_lines;
};

/// The probability with which a fault occurs, from 0 to 1.
class fault_probability
{
public:
    void set(const Json::Value &json);
    bool occurs() const;

private:
    std::atomic<double> m_probability = 0;
};

/// Starts the server at a stand-in's control address, with POST /faults, GET /facts and GET /events?after=N.
std::unique_ptr<http_server> serveControl(const endpoint &address,
                                          const event_journal &journal,
                                          std::function<void(const Json::Value &)> setFaults,
                                          std::function<Json::Value()> facts);

/// Keeps the connection open without an answer until the client disconnects, \a until returns true or a minute has passed, then aborts it.
void leaveUnanswered(http_exchange &exchange, const std::function<bool()> &until);
/// Returns whether the client has closed its side of the connection.
bool hasClientDisconnected(const http_exchange &exchange);

} // namespace vetchpost::test
