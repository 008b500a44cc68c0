// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Tests/Soak/soak_facts.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace vetchpost::test {

/// The state of the run that clients depend on. The run updates it and the clients read it. Thread-safe.
class soak_directory
{
public:
    explicit soak_directory(std::vector<endpoint> daemons);

    std::size_t daemonCount() const;
    endpoint daemonAt(int daemon) const;
    /// Sets whether the balancer directs new connections to the daemon.
    void setInRotation(int daemon, bool isInRotation);
    /// Selects a daemon by \a number among those that the balancer uses, or among all daemons if the balancer uses fewer than half.
    int selectDaemon(std::uint64_t number) const;
    void setVersion(std::uint64_t version);
    std::uint64_t version() const;
    /// Sets the newest value of the key that the operator withdraws now and then. Some clients keep using earlier values for a while.
    void setChangingKey(const std::string &key);
    std::string changingKey() const;

    /// The number of restarts of each daemon.
    std::vector<std::atomic<int>> incarnations;

private:
    const std::vector<endpoint> m_daemons;
    mutable std::mutex m_mutex;
    std::vector<bool> m_inRotation;
    std::string m_changingKey;
    std::atomic<std::uint64_t> m_version = 0;
};

/// Collects the attempts that have ended. Thread-safe.
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
/// The timeout of all routes.
constexpr duration routeTimeout(5000);
/// Returns the path prefix of the route that exists only in this version of the configuration.
std::string versionPath(std::uint64_t version);

/// The prefix of the ids of a deadly client's attempts; the client's number follows.
constexpr auto deadlyIdPrefix = "d";
/// The prefix of the request bodies that make a replica's process end.
constexpr auto deadlyBodyPrefix = "deadly";
/// The prefix of the ids of the attempts of a client whose prompts have a deadly part; the client's number follows, which begins with the
/// number of the part.
constexpr auto deadlyPartIdPrefix = "e";
/// The prefix of the parts of prompts that make a replica's process end.
constexpr auto deadlyPartPrefix = "dead";

/// What makes each replica end that runs a client's requests; nothing for a usual client.
struct deadly_content
{
    /// The body of all requests of the client.
    std::string body = {};
    /// A part of the prompt of all requests of the client, which have nothing else in common.
    std::string part = {};
};

/// A client with its own thread and persistent connections. It sends one request after the other and retries as the platform's clients do.
class soak_client
{
public:
    soak_client(int number, std::uint64_t seed, const soak_directory &directory, attempt_log &log, deadly_content deadly = {});
    ~soak_client();
    soak_client(const soak_client &) = delete;
    soak_client &operator=(const soak_client &) = delete;

    /// Makes the client stop after its current attempt.
    void requestStop();

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
