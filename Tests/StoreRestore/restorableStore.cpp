// SPDX-License-Identifier: Apache-2.0
#include "Tests/StoreRestore/restorableStore.h"

#include "Libraries/Base/json.h"
#include "Tests/Fakes/free_port.h"
#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/store_calls.h"
#include "platform/base64.h"
#include "platform/names.h"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost::test {

namespace {

namespace names = platform_names;

/// How often a waiting watch looks for changes, and a held one whether it goes on.
constexpr duration pollPeriod(2);
constexpr int unavailable = 503;

Json::Value writeOf(const std::string &key, const std::string &value)
{
    Json::Value write;
    write[names::key] = key;
    write[names::value] = encodeBase64(value);
    Json::Value transaction;
    transaction[names::writes].append(write);
    return transaction;
}

} // namespace

struct restorable_store::private_data
{
    mutable std::mutex mutex;
    store_model store;
    store_model copy;
    std::atomic<bool> isAnswering = true;
    std::atomic<bool> holdsReplicaWatches = false;
    std::atomic<int> heldReplicaWatches = 0;
    std::atomic<bool> isStopping = false;
    endpoint address;
    std::unique_ptr<http_server> server;

    void transact(const Json::Value &transaction)
    {
        const std::lock_guard lock(mutex);
        test::transact(store, transaction, true);
    }

    void handle(http_exchange &exchange)
    {
        const auto body = readJsonBody(exchange);
        if (!isAnswering) {
            exchange.send(unavailable, "text/plain", "not available\n");
            return;
        }
        if (exchange.path() == names::watchCall && exchange.queryParameter(names::prefix) == names::replicaPrefix) {
            ++heldReplicaWatches;
            while (holdsReplicaWatches && !isStopping) {
                std::this_thread::sleep_for(pollPeriod);
            }
            --heldReplicaWatches;
        }
        const auto wait = duration(std::stoll("0" + exchange.queryParameter(names::waitTime)));
        const auto until = monotonicNow() + wait;
        store_answer answer;
        std::uint64_t era = 0;
        do {
            std::this_thread::sleep_for(wait.count() > 0 ? pollPeriod : duration());
            const std::lock_guard lock(mutex);
            expireLeases(store, monotonicNow());
            answer = applyCall(store, exchange, body, false, monotonicNow());
            era = store.era;
        } while (answer.status == 200 && answer.body[names::events].empty() && monotonicNow() < until && !isStopping);
        sendAnswer(exchange, answer, era);
    }
};

restorable_store::restorable_store()
    : d(std::make_unique<private_data>())
{
    d->address = freePort();
    d->server = std::make_unique<http_server>(d->address, http_server_limits(), [this](http_exchange &exchange) { d->handle(exchange); });
}

restorable_store::~restorable_store()
{
    d->isStopping = true;
    d->server.reset();
}

const endpoint &restorable_store::address() const
{
    return d->address;
}

std::uint64_t restorable_store::revision() const
{
    const std::lock_guard lock(d->mutex);
    return d->store.keys.lastRevision;
}

void restorable_store::write(const std::string &key, const std::string &value)
{
    d->transact(writeOf(key, value));
}

void restorable_store::remove(const std::string &key)
{
    Json::Value transaction;
    transaction[names::removals].append(key);
    d->transact(transaction);
}

std::string restorable_store::read(const std::string &key) const
{
    const std::lock_guard lock(d->mutex);
    return decodeBase64(jsonString(readKey(d->store, key).body, names::value));
}

void restorable_store::saveCopy()
{
    const std::lock_guard lock(d->mutex);
    d->copy = d->store;
}

void restorable_store::restore(bool doesRewrite)
{
    const std::lock_guard lock(d->mutex);
    const auto rewrites = restoreCopy(d->store, d->copy, monotonicNow());
    for (const auto &rewrite : rewrites) {
        if (doesRewrite) {
            transact(d->store, rewrite, true);
        }
    }
}

void restorable_store::reuseLeaseNumbers()
{
    const std::lock_guard lock(d->mutex);
    d->store.keys.lastLease = d->copy.keys.lastLease;
}

void restorable_store::setAnswering(bool isAnswering)
{
    d->isAnswering = isAnswering;
}

void restorable_store::holdReplicaWatches(bool areHeld)
{
    d->holdsReplicaWatches = areHeld;
}

int restorable_store::heldReplicaWatches() const
{
    return d->heldReplicaWatches;
}

} // namespace vetchpost::test
