// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Requests/replica_constraints.h"

#include <memory>

namespace vetchpost {

/// What this daemon knows of replicas that named a limit, asked for rest or leave. Logs and counts what it learns. Safe to use from several
/// threads.
class shared_constraints
{
public:
    explicit shared_constraints(metrics &counters);
    ~shared_constraints();
    shared_constraints(const shared_constraints &) = delete;
    shared_constraints &operator=(const shared_constraints &) = delete;

    /// Takes in what a replica's answer to a request says.
    void noteAnswer(const backend &place, const replica_notice &notice, const request_id &request);
    /// A request goes to the place now.
    void noteSent(const backend &place);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
