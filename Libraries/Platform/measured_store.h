// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Platform/key_value_service.h"

#include <memory>

namespace vetchpost {

/// Decorator of a key-value service that records the duration of each call in histograms, by call and outcome.
class measured_store : public key_value_service
{
public:
    measured_store(std::unique_ptr<key_value_service> service, metrics &counters);
    ~measured_store() override;
    measured_store(const measured_store &) = delete;
    measured_store &operator=(const measured_store &) = delete;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) override;
    std::optional<key_value_listing> list(const std::string &prefix, read_freshness freshness, reason &lastReason) override;
    swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease) override;
    std::optional<lease_number> grantLease(duration time, reason &lastReason) override;
    std::optional<bool> renewLease(lease_number lease, reason &lastReason) override;
    void endLease(lease_number lease) override;
    std::optional<watch_result> watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason) override;

private:
    struct private_data;
    store_era era() const override;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
