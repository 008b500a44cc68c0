// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/claim_service.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace vetchpost {

namespace {

constexpr duration tickPeriod(5);
constexpr std::size_t maxCachedAnswers = 512;
constexpr std::size_t maxCachedAnswerSize = 64U * 1024U;

} // namespace

struct claim_service::private_data
{
    struct waiting_claim
    {
        std::condition_variable wake;
        std::optional<claim_result> answer;
    };

    key_value_client &keyValue;
    worker_pool &workers;
    mutable std::mutex mutex;
    std::vector<claim_batcher> batchers;
    std::map<request_id, waiting_claim *> waitingClaims;
    std::map<request_id, cached_answer> answers;
    std::deque<request_id> answerOrder;
    counter writes;
    counter claims;

    private_data(const daemon_settings &settings, key_value_client &client, metrics &counters, worker_pool &pool)
        : keyValue(client)
        , workers(pool)
        , writes(counters.addCounter("vetchpost_claim_writes_total", "Batches of claims written to the key-value service."))
        , claims(counters.addCounter("vetchpost_claims_total", "Keys that were asked to be claimed."))
    {
        for (unsigned shard = 0; shard < claimShardCount; ++shard) {
            claim_batcher batcher;
            batcher.shard = shard;
            batcher.batchPeriod = settings.claimBatchPeriod;
            batchers.push_back(std::move(batcher));
        }
    }

    /// Performs a batcher's actions: starts calls to the key-value service and wakes the requests whose claims are decided. The mutex must
    /// be held.
    void perform(unsigned shard, const std::vector<claim_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *answer = std::get_if<claim_result>(&action)) {
                deliverResult(*answer);
            } else if (const auto *write = std::get_if<write_shard>(&action)) {
                workers.run([this, shard, call = *write] { writeShard(shard, call); });
            } else {
                workers.run([this, shard] { readShard(shard); });
            }
        }
    }

    void deliverResult(const claim_result &answer)
    {
        const auto waiting = waitingClaims.find(answer.owner);
        if (waiting != waitingClaims.end()) {
            waiting->second->answer = answer;
            waiting->second->wake.notify_one();
        }
    }

    void readShard(unsigned shard)
    {
        reason why;
        const auto entry = keyValue.get(claimShardKey(shard), read_freshness::current, why);
        const std::lock_guard lock(mutex);
        perform(shard, onShardRead(batchers[shard], entry, monotonicNow()));
    }

    void writeShard(unsigned shard, const write_shard &call)
    {
        writes.increment();
        const auto result = keyValue.compareAndSwap(claimShardKey(shard), call.expected, call.text);
        const std::lock_guard lock(mutex);
        perform(shard, onShardWritten(batchers[shard], result, monotonicNow()));
    }
};

claim_service::claim_service(const daemon_settings &settings, key_value_client &keyValue, metrics &counters, worker_pool &workers)
    : d(std::make_unique<private_data>(settings, keyValue, counters, workers))
{
}

claim_service::~claim_service() = default;

void claim_service::subscribeTo(timer_service &timers)
{
    timers.subscribe("claims", tickPeriod, [this](instant now) {
        const auto era = d->keyValue.era();
        const std::lock_guard lock(d->mutex);
        for (auto &batcher : d->batchers) {
            recordEra(batcher, era);
            d->perform(batcher.shard, tick(batcher, now, calendarMilliseconds()));
        }
    });
}

claim_result claim_service::claim(const claim_record &record, instant deadline)
{
    private_data::waiting_claim waiting;
    std::unique_lock lock(d->mutex);
    d->claims.increment();
    d->waitingClaims.emplace(record.owner, &waiting);
    addClaim(d->batchers[shardOf(record.key)], {{claim_change::claim, record}, deadline});
    // The batcher decides every claim, at the latest one call timeout after the deadline.
    waiting.wake.wait(lock, [&] { return waiting.answer.has_value(); });
    d->waitingClaims.erase(record.owner);
    return *waiting.answer;
}

void claim_service::settle(claim_change change, const claim_record &record)
{
    const std::lock_guard lock(d->mutex);
    addClaim(d->batchers[shardOf(record.key)], {{change, record}, {}});
}

void claim_service::cacheAnswer(const request_id &owner, const cached_answer &answer)
{
    if (answer.body.size() > maxCachedAnswerSize) {
        return;
    }
    const std::lock_guard lock(d->mutex);
    d->answers[owner] = answer;
    d->answerOrder.push_back(owner);
    if (d->answerOrder.size() > maxCachedAnswers) {
        d->answers.erase(d->answerOrder.front());
        d->answerOrder.pop_front();
    }
}

std::optional<cached_answer> claim_service::cachedAnswer(const request_id &owner) const
{
    const std::lock_guard lock(d->mutex);
    const auto found = d->answers.find(owner);
    return found == d->answers.end() ? std::nullopt : std::optional(found->second);
}

} // namespace vetchpost
