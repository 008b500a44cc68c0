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

/// What happened at a stand-in, in its order: numbered lines with the machine's monotonic milliseconds. Safe to use from several threads.
class event_journal
{
public:
    void note(const std::string &what, Json::Value fields);
    /// The lines after the one with that number, each a JSON object.
    std::string linesAfter(std::uint64_t number) const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::deque<std::pair<std::uint64_t, std::string>> m_lines;
};

/// The share of cases in which a fault shows; 0 for none, 1 for all.
class fault_share
{
public:
    void set(const Json::Value &json);
    bool strikes() const;

private:
    std::atomic<double> m_share = 0;
};

/// Serves a stand-in's control address: POST /faults, GET /facts, GET /events?after=N.
std::unique_ptr<http_server> serveControl(const endpoint &address,
                                          const event_journal &journal,
                                          std::function<void(const Json::Value &)> setFaults,
                                          std::function<Json::Value()> facts);

/// Keeps the connection open and says nothing until the caller leaves, \a until returns true or a minute has passed; then ends it.
void staySilent(http_exchange &exchange, const std::function<bool()> &until);
/// Whether the caller has closed its side.
bool hasCallerLeft(const http_exchange &exchange);

} // namespace vetchpost::test
