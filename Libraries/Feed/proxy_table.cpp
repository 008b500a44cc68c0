// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/proxy_table.h"

#include <algorithm>

namespace vetchpost {

bool announce(proxy_table &table, const tunnel_proxy &proxy, instant now)
{
    auto &entry = table.proxies[table.own];
    const bool isDue = entry.number == 0 || now - entry.announcedAt >= proxyRefreshPeriod;
    if (!isDue && entry.proxy == proxy) {
        return false;
    }
    entry.proxy = proxy;
    ++entry.number;
    entry.announcedAt = now;
    entry.changed = ++table.changes;
    return true;
}

bool mergeReport(proxy_table &table, const proxy_report &report, instant now)
{
    const auto known = table.proxies.find(report.address);
    const bool isOlder = known != table.proxies.end() && report.number <= known->second.number;
    const bool isFull = known == table.proxies.end() && table.proxies.size() >= maxProxies;
    if (isOlder || isFull || report.age >= proxyLifetime) {
        return false;
    }
    auto &entry = table.proxies[report.address];
    entry.number = report.number;
    if (report.address == table.own) {
        // Makes the next announcement due.
        entry.announcedAt = now - proxyRefreshPeriod;
        return true;
    }
    entry.proxy = report.proxy;
    entry.announcedAt = now - report.age;
    entry.changed = ++table.changes;
    return true;
}

void expireEntries(proxy_table &table, instant now)
{
    std::erase_if(table.proxies, [&](const auto &entry) { return now - entry.second.announcedAt >= proxyLifetime; });
}

proxy_report makeReport(const endpoint &address, const proxy_entry &entry, instant now)
{
    return {address, entry.proxy, entry.number, std::max(duration(), now - entry.announcedAt)};
}

bool reaches(const tunnel_proxy &proxy, const service_id &service)
{
    const auto &unreached = proxy.unreachedServices;
    return proxy.capacity > 0 && !proxy.isCutOff && std::find(unreached.begin(), unreached.end(), service) == unreached.end();
}

bool matchesReport(const proxy_table &table, const proxy_report &report)
{
    const auto known = table.proxies.find(report.address);
    return known != table.proxies.end() && known->second.number == report.number && known->second.proxy == report.proxy;
}

} // namespace vetchpost
