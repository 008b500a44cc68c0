// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/platform/store_calls.h"

#include "Tests/StandIns/fault_switches.h"
#include "platform/names.h"

namespace vetchpost::test {

namespace {

namespace names = platform_names;

constexpr int notFound = 404;

lease_number leaseIn(const std::string &path, const std::string &call)
{
    return lease_number(std::stoull("0" + path.substr(call.size())));
}

} // namespace

store_answer applyCall(store_model &store, const http_exchange &exchange, const Json::Value &body, bool isPrivileged, instant now)
{
    const auto &path = exchange.path();
    if (path == names::keyCall) {
        return readKey(store, exchange.queryParameter(names::key));
    }
    if (path == names::rangeCall) {
        return readRange(store, exchange.queryParameter(names::prefix), exchange.queryParameter(names::after));
    }
    if (path == names::watchCall) {
        return readChanges(store, exchange.queryParameter(names::prefix), std::stoull("0" + exchange.queryParameter(names::after)));
    }
    if (path == names::transactionCall) {
        return transact(store, body, isPrivileged);
    }
    if (path == names::grantLeaseCall) {
        return grantLease(store, body, now);
    }
    if (path.starts_with(names::renewLeaseCall)) {
        return renewLease(store, leaseIn(path, names::renewLeaseCall), now);
    }
    if (path.starts_with(names::endLeaseCall)) {
        endLease(store, leaseIn(path, names::endLeaseCall), now);
        return {};
    }
    return {notFound, {}};
}

void sendAnswer(http_exchange &exchange, const store_answer &answer, std::uint64_t era)
{
    exchange.setHeader(names::storeEra, std::to_string(era));
    sendJson(exchange, answer.body, answer.status);
}

} // namespace vetchpost::test
