// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/store_connection.h"

namespace vetchpost {

store_connection::store_connection(std::string eraHeader)
    : m_eraHeader(std::move(eraHeader))
{
}

std::optional<http_reply> store_connection::send(const http_call &call, reason &lastReason)
{
    auto reply = m_connections.send(call, lastReason);
    eraOf(reply);
    return reply;
}

std::optional<http_reply> store_connection::sendOnce(const http_call &call, reason &lastReason)
{
    auto reply = sendOnFreshConnection(call, lastReason);
    eraOf(reply);
    return reply;
}

store_era store_connection::eraOf(const std::optional<http_reply> &reply)
{
    return m_eras.record(reply ? reply->header(m_eraHeader) : std::string());
}

const store_era_record &store_connection::eras() const
{
    return m_eras;
}

} // namespace vetchpost
