// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"

#include <memory>

namespace vetchpost {

/// A key-value service that is left alone while it does not answer: then one call at a time, and seldom, finds out whether it is back, and
/// the others fail at once as not sent.
class paced_service : public key_value_service
{
public:
    /// \a probeKey is read, as cheaply as can be, to find out.
    paced_service(std::unique_ptr<key_value_service> service, std::string probeKey);
    ~paced_service() override;

    std::optional<key_value_entry> get(const std::string &key, read_freshness freshness, reason &lastReason) override;
    std::optional<key_value_listing> list(const std::string &prefix, read_freshness freshness, reason &lastReason) override;
    swap_result compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease) override;
    std::optional<lease_number> grantLease(duration time, reason &lastReason) override;
    std::optional<bool> renewLease(lease_number lease, reason &lastReason) override;
    void endLease(lease_number lease) override;
    std::optional<watch_result> watch(const std::string &prefix, std::uint64_t after, duration wait, reason &lastReason) override;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
