// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Routing/served_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// The daemons through which others can reach replicas, as each announces itself. All daemons keep the table (table_sync.h).
namespace vetchpost {

/// A daemon announces itself anew at this period, so that the entries of daemons that are gone expire.
constexpr duration proxyRefreshPeriod(60000);
/// An entry that was not announced anew for this time is removed.
constexpr duration proxyLifetime(200000);
/// The capacity of the table; daemons beyond it are left out.
constexpr std::size_t maxProxies = 1024;
/// The number of services that an entry names at most; one that would name more counts as cut off from all.
constexpr std::size_t maxServicesPerProxy = 8;

/// What a daemon announces of itself.
struct tunnel_proxy
{
    data_centre_id dataCentre;
    /// Distinguishes the runs of the daemon's process; requests for a tunnel are made to one run.
    std::uint64_t run = 0;
    /// Number of requests and tunnels that it can bear; 0 if it offers no tunnels.
    int capacity = 0;
    /// Whether it is cut off from the replicas of all services.
    bool isCutOff = false;
    /// The services from whose replicas alone it is cut off.
    std::vector<service_id> unreachedServices;

    bool operator==(const tunnel_proxy &) const = default;
};

struct proxy_entry
{
    tunnel_proxy proxy;
    /// Rises with each announcement of the daemon.
    std::uint64_t number = 0;
    instant announcedAt;
    /// The value of proxy_table::changes at the last change of this entry.
    std::uint64_t changed = 0;
};

struct proxy_table
{
    /// The address of the daemon that keeps this table.
    endpoint own;
    /// By the address at which the daemons receive the calls of others.
    std::map<endpoint, proxy_entry> proxies;
    std::uint64_t changes = 0;
};

/// One entry as daemons report it to each other.
struct proxy_report
{
    endpoint address;
    tunnel_proxy proxy;
    std::uint64_t number = 0;
    /// Time since the announcement.
    duration age{};
};

// Commands

/// Announces this daemon if its state differs from its entry, or the entry is due to be announced anew. Returns whether it did.
bool announce(proxy_table &table, const tunnel_proxy &proxy, instant now);
/// Merges another daemon's report. Returns whether that changed the table. A report on this daemon that is newer than its entry is of an
/// earlier run, and is outranked by the next announcement.
bool mergeReport(proxy_table &table, const proxy_report &report, instant now);
/// Removes entries that were not announced for proxyLifetime.
void expireEntries(proxy_table &table, instant now);

// Queries

proxy_report makeReport(const endpoint &address, const proxy_entry &entry, instant now);
/// Whether the daemon reaches the replicas of the service, by its own announcement.
bool reaches(const tunnel_proxy &proxy, const service_id &service);
/// Whether the table's entry is the same as another daemon's report.
bool matchesReport(const proxy_table &table, const proxy_report &report);

/// All daemons have to know each entry.
inline bool mustBeShared(const proxy_entry & /*entry*/)
{
    return true;
}

inline const std::map<endpoint, proxy_entry> &entriesOf(const proxy_table &table)
{
    return table.proxies;
}

inline const endpoint &keyOf(const proxy_report &report)
{
    return report.address;
}

} // namespace vetchpost
