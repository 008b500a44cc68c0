// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Tests/Soak/soak_facts.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace vetchpost::test {

/// What clients need to know of the run; the run changes it, the clients read it.
class soak_directory
{
public:
    explicit soak_directory(std::vector<endpoint> daemons);

    std::size_t daemonCount() const;
    endpoint daemonAt(int daemon) const;
    /// Whether the balancer passes new connections to the daemon.
    void setIn(int daemon, bool isIn);
    /// One of the daemons that are in; one of all where fewer than half are.
    int choose(std::uint64_t number) const;
    void setVersion(std::uint64_t version);
    std::uint64_t version() const;
    /// The key that is withdrawn now and then; some clients go on using the ones before it.
    void setChangingKey(const std::string &key);
    std::string changingKey() const;

    std::vector<std::atomic<int>> incarnations;

private:
    const std::vector<endpoint> m_daemons;
    mutable std::mutex m_mutex;
    std::vector<bool> m_isIn;
    std::string m_changingKey;
    std::atomic<std::uint64_t> m_version = 0;
};

/// The attempts that have ended.
class attempt_log
{
public:
    void add(const attempt_fact &attempt);
    std::vector<attempt_fact> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<attempt_fact> m_attempts;
};

constexpr auto soakHost = "soak.example";
constexpr auto engineService = "engines";
constexpr auto plainService = "plain";
constexpr auto lastingKey = "key-lasting";
constexpr auto streamPath = "/stream/";
constexpr auto idempotentPath = "/again/";
constexpr auto nonIdempotentPath = "/once/";
/// Of all routes.
constexpr duration routeTimeout(5000);
/// The path of the route that only this version of the configuration has.
std::string versionPath(std::uint64_t version);

/// The ids of a deadly client's attempts begin so, then its number.
constexpr auto deadlyIdPrefix = "d";
/// The bodies that end replicas begin so.
constexpr auto deadlyBodyPrefix = "deadly";

/// A client on a thread of its own: keeps its connections, sends one request after the other and tries again as the platform's clients do.
class soak_client
{
public:
    soak_client(int number, std::uint64_t seed, const soak_directory &directory, attempt_log &log, const std::string &deadlyBody = {});
    ~soak_client();
    soak_client(const soak_client &) = delete;
    soak_client &operator=(const soak_client &) = delete;

    /// No new request begins; the one at hand goes on to its end.
    void requestStop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
