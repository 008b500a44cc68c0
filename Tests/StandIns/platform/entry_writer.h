// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_client.h"
#include "Tests/StandIns/platform/replica_host.h"

namespace vetchpost::test {

/// Maintains the replicas' entries in the store: writes changed entries, renews their leases, and removes the entries of replicas
/// that have stopped as planned.
class entry_writer
{
public:
    entry_writer(replica_host &host, endpoint store, duration heartbeat);
    ~entry_writer();
    entry_writer(const entry_writer &) = delete;
    entry_writer &operator=(const entry_writer &) = delete;

private:
    struct written_entry
    {
        std::uint64_t lease = 0;
        std::string text;
        instant renewedAt;
        /// A lapsed entry is not written again before this.
        instant returnsAt;
    };

    void run();
    bool update(const replica_host::desired_entry &desired);
    bool write(const replica_host::desired_entry &desired, written_entry &entry);
    /// Writes entries under the replicas' prefix that belong to no replica; returns false if the write fails.
    bool writeForeign();
    void removeAbsent(const std::vector<replica_host::desired_entry> &desired);
    std::optional<http_reply> call(const char *method, const std::string &target, const Json::Value &body);

    replica_host &m_host;
    endpoint m_store;
    duration m_heartbeat;
    http_connection_pool m_connections;
    std::map<std::string, written_entry> m_written;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace vetchpost::test
