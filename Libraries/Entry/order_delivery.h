// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/replica_paths.h"

#include <string>

namespace vetchpost {

/// What came of an order to a replica.
struct order_delivery
{
    order_answer answer;
    /// The response or the reason why there is none, for the log.
    std::string text = "not sent";
};

/// Returns where the order goes. A replica that is no longer known keeps the address that it had when the order was planned.
replica_address addressFor(const replica_order &order, const replica_directory &directory);
/// Sends an order to the replica at \a to and waits up to \a timeout for the response. Calls \a didAnswer if the response shows that the
/// replica is alive.
order_delivery sendOrder(const entry_dialect &dialect,
                         replica_paths &paths,
                         const replica_address &to,
                         const replica_order &order,
                         duration timeout,
                         const answer_listener &didAnswer);
void logOrder(const replica_order &order, const order_delivery &delivery);

} // namespace vetchpost
