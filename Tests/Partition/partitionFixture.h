// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Fakes/waiting.h"
#include "Tests/PlatformAdapter/relayFixture.h"
#include "Tests/PlatformAdapter/sharedStore.h"
#include "Tests/Soak/loopback_proxy.h"

#include <future>

/// Fixture for tests of several whole entry daemons, each of which has links of its own to the replicas.
namespace vetchpost::test {

/// A daemon's view of a shared_store in which the replicas' addresses are those of the daemon's links.
class linked_replica_store : public linked_store
{
public:
    /// \a links: the address of this daemon's link, by the address of the replica.
    linked_replica_store(shared_store &store, store_link &link, const std::map<std::string, std::string> &links)
        : linked_store(store, link)
        , m_links(links)
    {
    }

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) override
    {
        auto entry = linked_store::get(key, freshness, lastReason);
        if (entry) {
            replaceAddresses(entry->value);
        }
        return entry;
    }

    std::optional<key_value_listing> list(const std::string &prefix, read_freshness freshness, reason &lastReason) override
    {
        auto listing = linked_store::list(prefix, freshness, lastReason);
        if (listing) {
            std::for_each(listing->entries.begin(), listing->entries.end(), [this](auto &entry) { replaceAddresses(entry.value); });
        }
        return listing;
    }

    std::optional<watch_result> watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason) override
    {
        auto result = linked_store::watch(prefix, after, wait, lastReason);
        if (result) {
            std::for_each(result->changes.begin(), result->changes.end(), [this](auto &change) { replaceAddresses(change.value); });
        }
        return result;
    }

private:
    void replaceAddresses(std::string &value) const
    {
        for (const auto &[replica, link] : m_links) {
            if (const auto found = value.find('"' + replica + '"'); found != std::string::npos) {
                value.replace(found + 1, replica.size(), link);
                return;
            }
        }
    }

    const std::map<std::string, std::string> &m_links;
};

/// A daemon with its links to the shared store and to the replicas.
struct linked_daemon
{
    store_link store;
    std::map<std::string, std::string> replicaLinks;
    std::map<std::string, std::unique_ptr<loopback_proxy>> proxies;
    endpoint callers;
    endpoint readiness;
    endpoint peers;
    std::unique_ptr<entry_daemon> daemon;

    /// Applies the fault at the same moment to the links to all replicas whose ids begin with \a prefix.
    void setReplicaFault(link_fault fault, const std::string &prefix = {}) const
    {
        std::vector<std::future<void>> changes;
        for (const auto &[id, proxy] : proxies) {
            if (id.starts_with(prefix)) {
                changes.push_back(std::async(std::launch::async, [fault, &proxy = *proxy] { proxy.setFault(fault); }));
            }
        }
    }

    http_call callFor(const std::string &path, const std::string &requestId) const
    {
        http_call call;
        call.to = callers;
        call.method = "POST";
        call.target = path;
        call.body = "question";
        call.headers
            = {{"Host", "a.example"}, {"Attempt-Id", requestId}, {"Deadline-Ms", "2500"}, {"Model", "m"}, {"Authorization", "Bearer good"}};
        return call;
    }

    client_answer request(const std::string &path, const std::string &requestId = "a1") const
    {
        return sendCall(callFor(path, requestId));
    }

    http_reply get(const endpoint &address, const std::string &path) const
    {
        http_call call;
        call.to = address;
        call.target = path;
        reason why;
        return sendOnFreshConnection(call, why).value_or(http_reply());
    }

    bool isReady() const
    {
        return get(readiness, "/readyz").status == 200;
    }

    /// The value of a metric, all labels together.
    double metric(const std::string &name) const
    {
        double sum = 0;
        std::istringstream lines(get(peers, "/metrics").body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name)) {
                sum += std::stod(line.substr(line.rfind(' ')));
            }
        }
        return sum;
    }
};

/// Several daemons in front of replicas of a plain service and heads of groups. The first daemon becomes the coordinator.
class partition_fixture
{
public:
    /// \a hasLinks: each daemon has a link of its own to each replica, which accepts connections also when the replica has ended.
    explicit partition_fixture(int daemons, bool hasLinks = true)
        : m_hasLinks(hasLinks)
    {
        m_store.write("op/config", configurationText);
        m_store.write(crashRefusalsKey, encodeCrashRefusals({relay_fixture::identityKey(), {}}, 0));
        for (int number = 0; number < daemons; ++number) {
            m_daemons.push_back(std::make_unique<linked_daemon>());
        }
    }

    void addPlainReplica(const std::string &id, const scripted_replica &replica)
    {
        m_store.write(
            "servers/" + id,
            fmt::format(
                R"({{"Service":"plain","Address":"{}","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}})",
                replica.address()));
        addLinks(id, replica);
    }

    void addGroupHead(const std::string &id, const scripted_replica &replica)
    {
        m_store.write(
            "servers/" + id,
            fmt::format(
                R"({{"Service":"large","Address":"{}","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"Models":[{{"Name":"m","Version":1}}],
                "group":{{"Name":"g-{}","epoch":1,"rank":0,"State":"open"}}}})",
                replica.address(),
                id));
        addLinks(id, replica);
    }

    /// Sets the share of a core that each daemon may use.
    void setProcessorShare(double share)
    {
        m_processorShare = share;
    }

    void start(int number)
    {
        auto &next = daemon(number);
        entry_settings settings;
        settings.daemon = daemon_id("d" + std::to_string(number));
        settings.dataCentre = data_centre_id("z");
        settings.callers = next.callers = freePort();
        settings.readiness = next.readiness = freePort();
        settings.peers = next.peers = freePort();
        settings.maximumConnections = 32;
        settings.keyRevocation = duration(60000);
        settings.configurationApply = duration(2000);
        settings.stopGrace = duration(3000);
        settings.leaseTime = duration(2000);
        settings.isLogOn = std::getenv("VETCHPOST_TEST_LOG") != nullptr;
        settings.isFirstStart = true;
        settings.retryShare = 0.2;
        settings.retrySlack = 3500;
        settings.processorShare = m_processorShare;
        next.daemon = std::make_unique<entry_daemon>(
            settings, std::make_unique<platform_dialect>(), [this, &next](const endpoint & /*address*/, metrics & /*counters*/) {
                return std::make_unique<linked_replica_store>(m_store, next.store, next.replicaLinks);
            });
        next.daemon->start();
    }

    /// Starts all daemons and waits until each of them is ready and follows the coordinator.
    void startAll()
    {
        for (int number = 0; number < static_cast<int>(m_daemons.size()); ++number) {
            start(number);
            REQUIRE(isWithin(duration(6000), [&] { return daemon(number).isReady(); }));
            // The first daemon becomes the coordinator before the others start.
            std::this_thread::sleep_for(duration(number == 0 ? 1200 : 0));
            REQUIRE(isWithin(duration(5000), [&] { return daemon(number).metric("vetchpost_daemons_known") > 0; }));
        }
    }

    linked_daemon &daemon(int number)
    {
        return *m_daemons[static_cast<std::size_t>(number)];
    }

    shared_store &store()
    {
        return m_store;
    }

private:
    void addLinks(const std::string &id, const scripted_replica &replica)
    {
        const auto server = parseEndpoint(replica.address());
        REQUIRE(server);
        if (!m_hasLinks) {
            return;
        }
        for (const auto &daemon : m_daemons) {
            const auto listen = freePort();
            daemon->replicaLinks[replica.address()] = listen.text();
            daemon->proxies[id] = std::make_unique<loopback_proxy>(listen, *server);
        }
    }

    const bool m_hasLinks;
    /// The tests send thousands of requests per second on new connections.
    double m_processorShare = 16;
    shared_store m_store;
    std::vector<std::unique_ptr<linked_daemon>> m_daemons;
};

inline std::string shortStream(const std::string &request)
{
    return streamHead(request, "s") + chunk(event(1)) + "0\r\n\r\n";
}

/// How many of \a count requests, one after the other, were answered with a success.
inline int countServed(const linked_daemon &daemon, const std::string &path, int count)
{
    int served = 0;
    for (int number = 0; number < count; ++number) {
        served += daemon.request(path, "r" + std::to_string(number)).status == 200 ? 1 : 0;
    }
    return served;
}

} // namespace vetchpost::test
