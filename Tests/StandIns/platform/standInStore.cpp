// SPDX-License-Identifier: Apache-2.0
// A test stand-in for the platform's metadata store. Never installed.
#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/event_journal.h"
#include "Tests/StandIns/platform/stand_in_names.h"
#include "Tests/StandIns/platform/store_calls.h"
#include "platform/base64.h"
#include "platform/platform_dialect.h"

#include <docopt/docopt.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;
namespace names = platform_names;

constexpr auto usage = R"(Stand-in for the platform's metadata store.

Usage:
  standInStore --listen=<address> --control=<address>
)";

constexpr int badRequest = 400;
constexpr int unavailable = 503;
constexpr duration tick(20);
constexpr std::uint64_t maxWatchMs = 30000;

/// Faults that affect the calls of daemons. Calls of the operator and the replicas carry the stand-in's own header and are not affected.
struct store_faults
{
    /// Whether calls get no answer at all.
    std::atomic<bool> isSilent = false;
    std::atomic<bool> refuses = false;
    std::atomic<std::uint64_t> delayMs = 0;
    /// By how much the answers to watches are delayed.
    std::atomic<std::uint64_t> holdWatchesMs = 0;
    /// Calls that take effect without an answer.
    fault_probability loseAnswers;
    /// Number of following listings whose answers are lost. Listings that may be stale are not counted.
    std::atomic<std::int64_t> loseListings = 0;
    /// Calls that are refused with status 503 at random; `refuses` refuses all calls.
    fault_probability deny;

    void set(const Json::Value &json)
    {
        const auto ifPresent = [&](const char *name, auto &&assign) {
            if (json.isMember(name)) {
                assign(json[name]);
            }
        };
        ifPresent("silent", [&](const Json::Value &value) { isSilent = value.asBool(); });
        ifPresent("refuse_503", [&](const Json::Value &value) { refuses = value.asBool(); });
        ifPresent("slow_ms", [&](const Json::Value &value) { delayMs = value.asUInt64(); });
        ifPresent("hold_watches_ms", [&](const Json::Value &value) { holdWatchesMs = value.asUInt64(); });
        ifPresent("lose_answers", [&](const Json::Value &value) { loseAnswers.set(value); });
        ifPresent("lose_listings", [&](const Json::Value &value) { loseListings = value.asInt64(); });
        ifPresent("deny", [&](const Json::Value &value) { deny.set(value); });
    }
};

class store_stand_in
{
public:
    store_stand_in()
        : m_expiry([this] { runExpiry(); })
    {
    }

    ~store_stand_in()
    {
        m_isStopping = true;
        m_expiry.join();
    }

    store_stand_in(const store_stand_in &) = delete;
    store_stand_in &operator=(const store_stand_in &) = delete;

    void handle(http_exchange &exchange)
    {
        const bool isPrivileged = exchange.header(stand_in_names::ownCall) == stand_in_names::ownCallValue;
        const auto body = readJsonBody(exchange);
        ++m_calls;
        if (!isPrivileged && !admitCall(exchange)) {
            return;
        }
        const auto answer = dispatch(exchange, body, isPrivileged);
        if (!isPrivileged && m_faults.isSilent) {
            leaveUnanswered(exchange, [this] { return !m_faults.isSilent; });
        } else if (!isPrivileged && shouldLoseAnswer(exchange)) {
            leaveUnanswered(exchange, [this] { return m_isStopping.load(); });
        } else {
            sendAnswer(exchange, answer.first, answer.second);
        }
    }

    void setFaults(const Json::Value &json)
    {
        m_faults.set(json);
        if (jsonFlag(json, "save_copy")) {
            const std::lock_guard lock(m_mutex);
            m_copy = m_store;
        }
        if (json.isMember("restore_copy_ms")) {
            restore(duration(json["restore_copy_ms"].asInt64()));
        }
        if (jsonFlag(json, "forget_history")) {
            const std::lock_guard lock(m_mutex);
            discardHistory(m_store);
        }
        m_changed.notify_all();
    }

    Json::Value facts()
    {
        const std::lock_guard lock(m_mutex);
        Json::Value json;
        json["revision"] = Json::UInt64(m_store.keys.lastRevision);
        json["era"] = Json::UInt64(m_store.era);
        json["leases"] = Json::UInt64(m_store.keys.leases.size());
        json["calls"] = Json::UInt64(m_calls.load());
        json["entries"] = Json::Value(Json::objectValue);
        for (const auto &[key, entry] : m_store.keys.entries) {
            auto &fact = json["entries"][key];
            fact["revision"] = Json::UInt64(entry.changed.number());
            fact["lease"] = Json::UInt64(entry.lease.number());
            const auto text = decodeBase64(entry.value.substr(1));
            fact["value"] = parseJson(text).value_or(Json::Value(text));
        }
        return json;
    }

    const event_journal &journal() const
    {
        return m_journal;
    }

private:
    bool admitCall(http_exchange &exchange)
    {
        if (m_faults.isSilent) {
            leaveUnanswered(exchange, [this] { return !m_faults.isSilent; });
            return false;
        }
        if (m_faults.refuses || m_faults.deny.occurs()) {
            exchange.send(unavailable, "text/plain", "out of order\n");
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_faults.delayMs));
        return true;
    }

    bool shouldLoseAnswer(const http_exchange &exchange)
    {
        const bool isListing = exchange.path() == names::rangeCall && exchange.queryParameter(names::mayBeStale).empty();
        return m_faults.loseAnswers.occurs() || (isListing && m_faults.loseListings > 0 && m_faults.loseListings-- > 0);
    }

    /// Returns the answer to a call, and the era in which it was made.
    std::pair<store_answer, std::uint64_t> dispatch(const http_exchange &exchange, const Json::Value &body, bool isPrivileged)
    {
        if (exchange.path() == names::watchCall) {
            return watch(exchange);
        }
        const std::lock_guard lock(m_mutex);
        expire();
        if (exchange.path() == names::transactionCall) {
            return {write(body, isPrivileged), m_store.era};
        }
        auto answer = applyCall(m_store, exchange, body, isPrivileged, monotonicNow());
        m_changed.notify_all();
        return {std::move(answer), m_store.era};
    }

    /// Comes back from the copy that was saved last. What the operator and the replicas wrote since is written again after \a rewriteDelay,
    /// one entry at a time.
    void restore(duration rewriteDelay)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_copy) {
            return;
        }
        const auto rewrites = restoreCopy(m_store, *m_copy, monotonicNow());
        m_rewrites.assign(rewrites.begin(), rewrites.end());
        m_rewriteAt = monotonicNow() + rewriteDelay;
        Json::Value fields;
        fields["era"] = Json::UInt64(m_store.era);
        fields["revision"] = Json::UInt64(m_store.keys.lastRevision);
        m_journal.recordEvent("restored", fields);
    }

    /// Writes one of the entries again that were lost with the restoration, if that is due. The caller holds m_mutex.
    void rewriteOne()
    {
        if (m_rewrites.empty() || monotonicNow() < m_rewriteAt) {
            return;
        }
        transact(m_store, m_rewrites.front(), true);
        m_rewrites.pop_front();
        m_changed.notify_all();
    }

    /// Drops the pending rewrites of the keys that a call of the operator or a replica writes, which are newer. The caller holds m_mutex.
    void dropRewrites(const Json::Value &body)
    {
        const auto firstKey = [](const Json::Value &transaction) {
            const auto &writes = jsonArray(transaction, names::writes);
            return writes.empty() ? jsonArray(transaction, names::removals)[0].asString() : jsonString(writes[0], names::key);
        };
        const auto isWritten = [&](const std::string &key) {
            const auto &writes = jsonArray(body, names::writes);
            const auto &removals = jsonArray(body, names::removals);
            return std::any_of(writes.begin(), writes.end(), [&](const auto &write) { return jsonString(write, names::key) == key; })
                || std::any_of(removals.begin(), removals.end(), [&](const auto &removal) { return removal.asString() == key; });
        };
        std::erase_if(m_rewrites, [&](const Json::Value &rewrite) { return isWritten(firstKey(rewrite)); });
    }

    store_answer write(const Json::Value &body, bool isPrivileged)
    {
        if (!hasValidConfiguration(body)) {
            return {badRequest, {}};
        }
        auto answer = transact(m_store, body, isPrivileged);
        if (answer.status == 200) {
            dropRewrites(body);
            for (const auto &written : jsonArray(body, names::writes)) {
                recordAcknowledgement(jsonString(written, names::key), answer, isPrivileged);
            }
            for (const auto &removal : jsonArray(body, names::removals)) {
                recordAcknowledgement(removal.asString(), answer, isPrivileged);
            }
            m_changed.notify_all();
        }
        return answer;
    }

    bool hasValidConfiguration(const Json::Value &body) const
    {
        reason why;
        for (const auto &written : jsonArray(body, names::writes)) {
            if (jsonString(written, names::key) == names::configurationKey
                && !m_dialect.readConfiguration(decodeBase64(jsonString(written, names::value)), why)) {
                return false;
            }
        }
        return true;
    }

    void recordAcknowledgement(const std::string &key, const store_answer &answer, bool isPrivileged)
    {
        Json::Value fields;
        fields["key"] = key;
        fields["revision"] = answer.body[names::revision];
        fields["who"] = !isPrivileged ? "daemon" : key.starts_with(names::replicaPrefix) ? "replica" : "operator";
        m_journal.recordEvent("acked", fields);
    }

    std::pair<store_answer, std::uint64_t> watch(const http_exchange &exchange)
    {
        const auto wait = std::min<std::uint64_t>(maxWatchMs, std::stoull("0" + exchange.queryParameter(names::waitTime)));
        std::pair<store_answer, std::uint64_t> answer;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
                answer = {applyCall(m_store, exchange, Json::Value(), false, monotonicNow()), m_store.era};
                return answer.first.status != 200 || !answer.first.body[names::events].empty() || m_isStopping;
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(m_faults.holdWatchesMs));
        return answer;
    }

    /// Removes the keys of expired leases. The caller holds m_mutex.
    void expire()
    {
        const auto ended = expireLeases(m_store, monotonicNow());
        for (const auto lease : ended) {
            Json::Value fields;
            fields["lease"] = Json::UInt64(lease.number());
            m_journal.recordEvent("lease_ended", fields);
        }
        if (!ended.empty()) {
            m_changed.notify_all();
        }
    }

    void runExpiry()
    {
        while (!m_isStopping) {
            std::this_thread::sleep_for(tick);
            const std::lock_guard lock(m_mutex);
            expire();
            rewriteOne();
        }
        m_changed.notify_all();
    }

    const platform_dialect m_dialect;
    store_faults m_faults;
    event_journal m_journal;
    std::atomic<std::uint64_t> m_calls = 0;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    store_model m_store;
    std::optional<store_model> m_copy;
    std::deque<Json::Value> m_rewrites;
    instant m_rewriteAt;
    std::thread m_expiry;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    blockStopSignals();
    store_stand_in store;
    http_server_limits limits;
    limits.maximumThreads = 1024;
    limits.maximumQueued = limits.maximumThreads;
    const auto address = [&](const char *option) { return parseEndpoint(arguments.at(option).asString()).value(); };
    const http_server server(address("--listen"), limits, [&](http_exchange &exchange) { store.handle(exchange); });
    const auto control = serveControl(
        address("--control"), store.journal(), [&](const Json::Value &json) { store.setFaults(json); }, [&] { return store.facts(); });
    waitForStop();
    // Exits without waiting for pending watches.
    std::_Exit(0);
}
