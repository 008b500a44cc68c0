// SPDX-License-Identifier: Apache-2.0
// A test stand-in for the platform: key-value service, instance list and weight store on three ports. Never installed.
#include "Tests/Fakes/fake_key_value_store.h"
#include "Tests/StandIns/fault_switches.h"

#include <docopt/docopt.h>

#include <condition_variable>
#include <mutex>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr auto usage = R"(Stand-in for the platform.

Usage:
  standInPlatform <key-value> <instance-list> <weight-store>
)";

constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr std::string_view keysPrefix = "/v1/keys/";
constexpr int historyGone = 410;
constexpr std::string_view leasesPrefix = "/v1/leases/";

class key_value_stand_in
{
public:
    void handle(http_exchange &exchange)
    {
        if (exchange.path() == "/faults") {
            const auto faults = readJsonBody(exchange);
            m_faults.set(faults);
            copyOrRestore(faults);
            sendJson(exchange, Json::Value(Json::objectValue));
        } else if (exchange.path() == "/calls") {
            Json::Value json;
            json["calls"] = Json::UInt64(m_calls.load());
            sendJson(exchange, json);
        } else if (m_faults.applyBeforeCall(exchange)) {
            ++m_calls;
            exchange.setHeader("Key-Value-Era", std::to_string(m_era));
            answer(exchange);
        }
    }

private:
    /// Saves a copy of the service, or comes back from the one that was saved last, which begins a new era.
    void copyOrRestore(const Json::Value &faults)
    {
        const std::lock_guard lock(m_mutex);
        if (jsonFlag(faults, "save_copy")) {
            m_copy = m_store;
        }
        if (jsonFlag(faults, "restore_copy")) {
            const auto lastLease = m_store.lastLease;
            m_store = m_copy;
            m_store.lastLease = lastLease;
            ++m_era;
            m_changed.notify_all();
        }
    }

    void answer(http_exchange &exchange)
    {
        const auto &path = exchange.path();
        if (path == "/v1/swap") {
            swap(exchange);
        } else if (path == "/v1/watch") {
            watch(exchange);
        } else if (path == "/v1/keys") {
            list(exchange);
        } else if (path.starts_with(keysPrefix)) {
            get(exchange, path.substr(keysPrefix.size()));
        } else if (path == "/v1/leases") {
            grant(exchange);
        } else if (path.starts_with(leasesPrefix)) {
            renew(exchange, std::stoull(path.substr(leasesPrefix.size())));
        } else {
            exchange.send(notFound, "text/plain", "nothing here\n");
        }
    }

    static Json::Value toJson(const key_value_entry &entry)
    {
        Json::Value json;
        json["key"] = entry.key;
        json["value"] = entry.value;
        json["revision"] = Json::UInt64(entry.changed.number());
        return json;
    }

    void get(http_exchange &exchange, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_store.expire(monotonicNow());
        const auto entry = m_store.get(key);
        sendJson(exchange, toJson(entry), entry.changed == key_revision() ? notFound : 200);
    }

    void list(http_exchange &exchange)
    {
        const auto prefix = exchange.queryParameter("prefix");
        const std::lock_guard lock(m_mutex);
        m_store.expire(monotonicNow());
        Json::Value json;
        json["entries"] = Json::Value(Json::arrayValue);
        for (const auto &[key, entry] : m_store.entries) {
            if (key.starts_with(prefix)) {
                json["entries"].append(toJson(m_store.get(key)));
            }
        }
        sendJson(exchange, json);
    }

    void swap(http_exchange &exchange)
    {
        const auto body = readJsonBody(exchange);
        swap_result result;
        {
            const std::lock_guard lock(m_mutex);
            m_store.expire(monotonicNow());
            result = m_store.swap(jsonString(body, "key"),
                                  key_revision(jsonNumber(body, "expected")),
                                  jsonString(body, "value"),
                                  lease_number(jsonNumber(body, "lease")));
        }
        m_changed.notify_all();
        if (m_faults.shouldLoseReply()) {
            exchange.abort();
            return;
        }
        Json::Value json;
        json["revision"] = Json::UInt64(result.changed.number());
        sendJson(exchange, json, result.outcome == swap_outcome::applied ? 200 : conflict);
    }

    void grant(http_exchange &exchange)
    {
        const auto body = readJsonBody(exchange);
        const std::lock_guard lock(m_mutex);
        Json::Value json;
        json["lease"] = Json::UInt64(m_store.grant(duration(jsonNumber(body, "time_ms")), monotonicNow()).number());
        sendJson(exchange, json);
    }

    void renew(http_exchange &exchange, std::uint64_t lease)
    {
        readJsonBody(exchange);
        const std::lock_guard lock(m_mutex);
        m_store.expire(monotonicNow());
        const bool isRenewed = m_store.renew(lease_number(lease), monotonicNow());
        sendJson(exchange, Json::Value(Json::objectValue), isRenewed ? 200 : notFound);
    }

    void watch(http_exchange &exchange)
    {
        const auto prefix = exchange.queryParameter("prefix");
        const auto after = std::stoull("0" + exchange.queryParameter("after"));
        const auto wait = std::chrono::milliseconds(std::stoull("0" + exchange.queryParameter("wait_ms")));
        Json::Value json;
        json["changes"] = Json::Value(Json::arrayValue);
        std::unique_lock lock(m_mutex);
        if (after > m_store.lastRevision) {
            lock.unlock();
            sendJson(exchange, json, historyGone);
            return;
        }
        m_changed.wait_for(lock, wait, [&] {
            for (const auto &change : m_store.changes) {
                if (change.changed.number() > after && change.key.starts_with(prefix)) {
                    json["changes"].append(toJson(change));
                }
            }
            return !json["changes"].empty();
        });
        json["revision"] = Json::UInt64(m_store.lastRevision);
        lock.unlock();
        sendJson(exchange, json);
    }

    fault_switches m_faults;
    std::atomic<std::uint64_t> m_calls = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    fake_key_value_store m_store;
    fake_key_value_store m_copy;
    std::atomic<std::uint64_t> m_era = 1;
};

/// Lists each instance as the last POST /v1/instances described it, so that a test can make the list lag behind.
class instance_list_stand_in
{
public:
    void handle(http_exchange &exchange)
    {
        if (exchange.path() == "/faults") {
            m_faults.set(readJsonBody(exchange));
            sendJson(exchange, Json::Value(Json::objectValue));
        } else if (exchange.method() == "POST") {
            put(readJsonBody(exchange));
            sendJson(exchange, Json::Value(Json::objectValue));
        } else if (m_faults.applyBeforeCall(exchange)) {
            list(exchange);
        }
    }

private:
    void put(const Json::Value &instance)
    {
        const std::lock_guard lock(m_mutex);
        const auto id = jsonString(instance, "id");
        if (jsonString(instance, "state") == "gone") {
            m_instances.erase(id);
        } else {
            m_instances[id] = instance;
        }
    }

    void list(http_exchange &exchange)
    {
        const auto dataCentre = exchange.queryParameter("data_centre");
        Json::Value json;
        json["instances"] = Json::Value(Json::arrayValue);
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, instance] : m_instances) {
            if (jsonString(instance, "data_centre") == dataCentre) {
                json["instances"].append(instance);
            }
        }
        sendJson(exchange, json);
    }

    fault_switches m_faults;
    std::mutex m_mutex;
    std::map<std::string, Json::Value> m_instances;
};

void handleWeights(http_exchange &exchange)
{
    constexpr int concurrentLoads = 8;
    Json::Value json;
    json["concurrent_loads"] = concurrentLoads;
    json["active_loads"] = 0;
    sendJson(exchange, json);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    blockStopSignals();
    const auto address = [&](const char *name) { return parseEndpoint(arguments.at(name).asString()).value(); };
    key_value_stand_in keyValue;
    instance_list_stand_in instances;
    const http_server keyValueServer(address("<key-value>"), {}, [&](http_exchange &exchange) { keyValue.handle(exchange); });
    const http_server listServer(address("<instance-list>"), {}, [&](http_exchange &exchange) { instances.handle(exchange); });
    const http_server weightServer(address("<weight-store>"), {}, handleWeights);
    waitForStop();
    return 0;
}
