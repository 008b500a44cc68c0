// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/order_delivery.h"

#include "Libraries/Base/event_log.h"

#include <fmt/format.h>

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");

} // namespace

replica_address addressFor(const replica_order &order, const replica_directory &directory)
{
    const auto known = directory.replicas.find(order.to);
    const bool isKnown = known != directory.replicas.end();
    return {{order.to, order.incarnation},
            isKnown ? known->second.service : service_id(),
            order.address,
            isKnown ? known->second.dataCentre : data_centre_id()};
}

order_delivery sendOrder(const entry_dialect &dialect,
                         replica_paths &paths,
                         const replica_address &to,
                         const replica_order &order,
                         duration timeout,
                         const answer_listener &didAnswer)
{
    auto call = dialect.orderCall(order);
    call.connectTimeout = timeout;
    call.receiveTimeout = timeout;
    call.maximumReplySize = maximumReportSize;
    reason why;
    std::optional<path_failure> failure;
    const auto reply = paths.send(to, call, failure, why);
    if (!reply) {
        const bool isRefused = failure == path_failure::refused;
        return {{isRefused ? order_result::gone : order_result::unknown, 0}, why.text};
    }
    if (dialect.isLivenessAnswer(*reply)) {
        didAnswer(order.to, *reply);
    }
    return {dialect.readOrderAnswer(order, *reply), fmt::format("{} {}", reply->status, reply->body)};
}

void logOrder(const replica_order &order, const order_delivery &delivery)
{
    assemblyLog.write("order",
                      {{"kind", static_cast<int>(order.kind)},
                       {"replica", order.to.value()},
                       {"group", order.group.value()},
                       {"formed", order.formed.value()},
                       {"expected", order.expectedOrders},
                       {"result", static_cast<int>(delivery.answer.result)},
                       {"answer", delivery.text}});
}

} // namespace vetchpost
