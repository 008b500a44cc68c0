// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Base/timer_service.h"
#include "Libraries/Base/worker_pool.h"
#include "Libraries/Platform/key_value_client.h"
#include "Libraries/Requests/claim_batcher.h"
#include "Libraries/Settings/daemon_settings.h"

#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// An HTTP answer that is cached, to be replayed to a later request with the same idempotency key.
struct cached_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Claims idempotency keys in the key-value service before their requests run, and caches recent answers in memory.
class claim_service
{
public:
    claim_service(const daemon_settings &settings, key_value_client &keyValue, metrics &counters, worker_pool &workers);
    ~claim_service();
    claim_service(const claim_service &) = delete;
    claim_service &operator=(const claim_service &) = delete;

    /// Subscribes to the timer that writes due batches.
    void subscribeTo(timer_service &timers);
    /// Claims a key and blocks until the result is known. A result without a verdict means that the key could not be claimed; the request
    /// must not run.
    claim_result claim(const claim_record &record, instant deadline);
    /// Records how the request of a granted claim ended; the record is written with the next batch.
    void settle(claim_change change, const claim_record &record);
    /// Caches an answer under the id of its request. Answers above a size limit are not cached; if the cache is full, the oldest answer is
    /// evicted.
    void cacheAnswer(const request_id &owner, const cached_answer &answer);
    /// Returns the cached answer of a request, or nothing if it is not cached.
    std::optional<cached_answer> cachedAnswer(const request_id &owner) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
