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

/// An answer that a second asker with the same key may get.
struct kept_answer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Claims keys before their requests run, and keeps the answers of those that ran for a while.
class claim_service
{
public:
    claim_service(const daemon_settings &settings, key_value_client &keyValue, metrics &counters, worker_pool &workers);
    ~claim_service();
    claim_service(const claim_service &) = delete;
    claim_service &operator=(const claim_service &) = delete;

    void subscribeTo(timer_service &timers);
    /// Waits for the verdict on a claim. One without a verdict could not be claimed: the request must not run.
    claim_result claim(const claim_record &record, instant deadline);
    /// Says how a granted claim ended; written with the next batch.
    void settle(claim_change change, const claim_record &record);
    void keepAnswer(const request_id &owner, const kept_answer &answer);
    std::optional<kept_answer> answerOf(const request_id &owner) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
