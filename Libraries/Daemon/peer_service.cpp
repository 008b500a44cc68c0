// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/peer_service.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Base/log.h"
#include "Libraries/Http/http_client.h"
#include "Libraries/Peers/exchange_codec.h"
#include "Libraries/Peers/peer_rpc.h"

#include <atomic>
#include <mutex>
#include <random>

namespace vetchpost {

namespace {

constexpr std::size_t maximumMessageBytes = 8U << 20U;
constexpr duration messageTimeout(5000);
constexpr duration exchangeTimeout(2000);

} // namespace

struct peer_service::private_data
{
    const daemon_settings &settings;
    cluster_state &cluster;
    worker_pool &workers;
    http_connection_pool connections;
    std::vector<peer_method> methods;
    std::unique_ptr<peer_rpc_server> rpc;
    std::mutex randomMutex;
    std::mt19937_64 random{std::random_device()()};
    std::atomic<bool> isExchanging = false;
    std::atomic<bool> mustExchangeAgain = false;
    counter exchanges;
    counter failures;
    counter sentBytes;
    counter receivedBytes;

    private_data(const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers)
        : settings(settings)
        , cluster(cluster)
        , workers(workers)
        , exchanges(counters.addCounter("vetchpost_peer_calls_total", "Calls to other daemons."))
        , failures(counters.addCounter("vetchpost_peer_failures_total", "Calls to other daemons without a usable reply."))
        , sentBytes(counters.addCounter("vetchpost_peer_bytes_total", "Bytes of messages between daemons.", {{"direction", "sent"}}))
        , receivedBytes(
              counters.addCounter("vetchpost_peer_bytes_total", "Bytes of messages between daemons.", {{"direction", "received"}}))
    {
    }

    /// Sends a message to a peer and receives the reply. Returns false if the call fails.
    bool transport(const endpoint &peer, duration timeout, const std::string &message, std::string &reply)
    {
        http_call call;
        call.to = peer;
        call.method = "POST";
        call.target = "/rpc";
        call.headers = {{"Authorization", "Bearer " + settings.peerToken}, {"Content-Type", "application/json"}};
        call.body = message;
        call.connectTimeout = timeout;
        call.receiveTimeout = timeout;
        call.maximumReplySize = maximumMessageBytes;
        exchanges.increment();
        sentBytes.increment(static_cast<double>(message.size()));
        reason why;
        const auto answer = connections.send(call, why);
        if (!answer || !answer->isSuccess()) {
            failures.increment();
            return false;
        }
        reply = answer->body;
        receivedBytes.increment(static_cast<double>(reply.size()));
        return true;
    }

    static exchange_scope scopeFrom(const Json::Value &parameters)
    {
        return jsonFlag(parameters, "wide") ? exchange_scope::wide : exchange_scope::data_centre;
    }

    /// Implements the method "exchange": applies the caller's digest, and returns the data that the caller lacks and this daemon's digest.
    Json::Value answerExchange(const Json::Value &parameters)
    {
        const auto digest = exchangeDigestFrom(parameters["digest"]);
        const auto scope
            = jsonString(parameters, "data_centre") == settings.dataCentre.value() ? scopeFrom(parameters) : exchange_scope::wide;
        cluster.receiveDigest(digest, monotonicNow());
        Json::Value result;
        result["delta"] = toJson(cluster.delta(digest, scope));
        result["digest"] = toJson(cluster.digest(scope));
        result["data_centre"] = settings.dataCentre.value();
        return result;
    }

    /// Implements the method "deliver": applies the data that this daemon lacked.
    Json::Value answerDeliver(const Json::Value &parameters)
    {
        cluster.receiveDelta(exchangeDeltaFrom(parameters["delta"]), monotonicNow());
        return Json::Value(Json::objectValue);
    }
};

peer_service::peer_service(const daemon_settings &settings, cluster_state &cluster, metrics &counters, worker_pool &workers)
    : d(std::make_unique<private_data>(settings, cluster, counters, workers))
{
    addMethod("exchange", [this](const Json::Value &parameters) { return d->answerExchange(parameters); });
    addMethod("deliver", [this](const Json::Value &parameters) { return d->answerDeliver(parameters); });
}

peer_service::~peer_service() = default;

void peer_service::addMethod(const std::string &name, std::function<Json::Value(const Json::Value &)> call)
{
    d->methods.push_back({name, std::move(call)});
    d->rpc = std::make_unique<peer_rpc_server>(d->methods);
}

std::optional<Json::Value>
peer_service::call(const endpoint &peer, const std::string &method, const Json::Value &parameters, duration timeout)
{
    Json::Value result;
    const auto transport = [&](const std::string &message, std::string &reply) { return d->transport(peer, timeout, message, reply); };
    return callPeerMethod(transport, method, parameters, result) ? std::optional(result) : std::nullopt;
}

namespace {

/// Exchanges with one peer: each side receives the facts and registers that it lacks.
void exchangeWith(peer_service &peers, cluster_state &cluster, const daemon_settings &settings, const peer_address &peer)
{
    Json::Value request;
    request["digest"] = toJson(cluster.digest(peer.scope));
    request["wide"] = peer.scope == exchange_scope::wide;
    request["data_centre"] = settings.dataCentre.value();
    const auto answer = peers.call(peer.address, "exchange", request, exchangeTimeout);
    if (!answer || !answer->isObject()) {
        return;
    }
    const auto now = monotonicNow();
    const auto theirs = exchangeDigestFrom((*answer)["digest"]);
    cluster.receiveDigest(theirs, now);
    cluster.receiveDelta(exchangeDeltaFrom((*answer)["delta"]), now);
    // A seed peer may turn out to be in another data centre, which is sent only the wide registers.
    const auto scope = jsonString(*answer, "data_centre") == settings.dataCentre.value() ? peer.scope : exchange_scope::wide;
    const auto lacked = cluster.delta(theirs, scope);
    if (!lacked.isEmpty()) {
        Json::Value delivery;
        delivery["delta"] = toJson(lacked);
        peers.call(peer.address, "deliver", delivery, exchangeTimeout);
    }
}

} // namespace

void peer_service::subscribeTo(timer_service &timers)
{
    timers.subscribe("exchange", d->settings.exchangePeriod, [this](instant now) {
        d->cluster.advanceOwnHeartbeat(now);
        std::vector<peer_address> targets;
        {
            const std::lock_guard lock(d->randomMutex);
            targets = chooseExchangeTargets(d->cluster.candidates(now), d->random);
        }
        for (const auto &target : targets) {
            d->workers.run([this, target] { exchangeWith(*this, d->cluster, d->settings, target); });
        }
    });
}

void peer_service::exchangeNow()
{
    // Only one such round runs at a time. Changes that arrive during it are sent in one more round after it.
    if (d->isExchanging.exchange(true)) {
        d->mustExchangeAgain = true;
        return;
    }
    d->mustExchangeAgain = false;
    const auto candidates = d->cluster.candidates(monotonicNow());
    std::vector<peer_address> targets;
    for (const auto &address : candidates.local) {
        targets.push_back({address, exchange_scope::data_centre});
    }
    for (const auto &addresses : candidates.remote) {
        if (!addresses.empty()) {
            const std::lock_guard lock(d->randomMutex);
            const auto index = std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(d->random);
            targets.push_back({addresses[index], exchange_scope::wide});
        }
    }
    const auto remaining = std::make_shared<std::atomic<std::size_t>>(targets.size());
    const auto finish = [this] {
        d->isExchanging = false;
        if (d->mustExchangeAgain.exchange(false)) {
            exchangeNow();
        }
    };
    if (targets.empty()) {
        d->isExchanging = false;
        return;
    }
    for (const auto &target : targets) {
        d->workers.run([this, target, remaining, finish] {
            exchangeWith(*this, d->cluster, d->settings, target);
            if (remaining->fetch_sub(1) == 1) {
                finish();
            }
        });
    }
}

void peer_service::handle(http_exchange &exchange)
{
    if (!isSameSecret(exchange.header("Authorization"), "Bearer " + d->settings.peerToken)) {
        exchange.sendError({error_kind::unauthorised, "the peers' interface requires the peers' token"});
        return;
    }
    if (exchange.path() != "/rpc" || exchange.method() != "POST") {
        exchange.sendError({error_kind::unknown_path, "the peers' interface is POST /rpc"});
        return;
    }
    reason why;
    const auto message = exchange.readBody(maximumMessageBytes, messageTimeout, why);
    if (!message) {
        exchange.sendError(why);
        return;
    }
    d->receivedBytes.increment(static_cast<double>(message->size()));
    const auto reply = d->rpc->reply(*message);
    d->sentBytes.increment(static_cast<double>(reply.size()));
    exchange.send(200, "application/json", reply);
}

} // namespace vetchpost
