// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Tests/Fakes/waiting.h"

#include <cstdint>
#include <memory>
#include <string>

namespace vetchpost::test {

/// The platform's store in the test's process, reached by its protocol, which can come back from an older copy. Thread-safe.
class restorable_store
{
public:
    restorable_store();
    ~restorable_store();
    restorable_store(const restorable_store &) = delete;
    restorable_store &operator=(const restorable_store &) = delete;

    const endpoint &address() const;
    std::uint64_t revision() const;
    /// Writes an entry as the operator or a replica would.
    void write(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Returns the value of a key; empty if there is none.
    std::string read(const std::string &key) const;
    void saveCopy();
    /// Comes back from the copy that was saved last, and writes again what the operator and the replicas wrote since, if \a doesRewrite.
    void restore(bool doesRewrite = true);
    /// Lets the store grant the numbers of leases again that were granted since the copy was saved, as it may do after a restoration.
    void reuseLeaseNumbers();
    /// Sets whether calls of daemons are answered; while they are not, each gets a 503.
    void setAnswering(bool isAnswering);
    /// While set, watches of replicas that arrive wait before they are looked at.
    void holdReplicaWatches(bool areHeld);
    /// Number of watches that wait so now.
    int heldReplicaWatches() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
