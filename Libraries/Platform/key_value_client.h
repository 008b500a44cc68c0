// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/metrics.h"
#include "Libraries/Platform/key_value_service.h"

#include <memory>

namespace vetchpost {

/// Client of the key-value service over the product's own HTTP interface (docs/INTERFACES.md). Counts the calls by kind.
class key_value_client : public key_value_service
{
public:
    key_value_client(endpoint address, metrics &counters);
    ~key_value_client() override;
    key_value_client(const key_value_client &) = delete;
    key_value_client &operator=(const key_value_client &) = delete;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) override;
    std::optional<key_value_listing> list(const std::string &prefix, read_freshness freshness, reason &lastReason) override;
    swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease = {}) override;
    std::optional<lease_number> grantLease(duration time, reason &lastReason) override;
    std::optional<bool> renewLease(lease_number lease, reason &lastReason) override;
    void endLease(lease_number lease) override;
    std::optional<watch_result> watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason) override;
    store_era era() const override;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
