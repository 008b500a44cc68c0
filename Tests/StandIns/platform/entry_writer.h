// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_client.h"
#include "Tests/StandIns/platform/replica_host.h"

namespace vetchpost::test {

/// Keeps the replicas' entries in the store: writes what changed, renews what stands, and removes what has ended as planned.
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
        instant renewed;
    };

    void run();
    bool update(const replica_host::wanted_entry &wanted);
    bool write(const replica_host::wanted_entry &wanted, written_entry &entry);
    /// Entries under the replicas' prefix that no replica wrote; false where the store does not answer.
    bool writeForeign();
    void forget(const std::vector<replica_host::wanted_entry> &wanted);
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
