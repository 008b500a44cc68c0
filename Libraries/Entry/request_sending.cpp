// SPDX-License-Identifier: Apache-2.0
// The part of request_handler that sends an answer to the client.
#include "Libraries/Entry/request_handler.h"

#include <algorithm>

namespace vetchpost {

/// Sends complete events to the client. Returns false if the client has closed the connection.
bool request_handler::relayComplete(const std::string &events, const upstream_head &head)
{
    beginStream(head);
    recordSent();
    return m_exchange.write(events);
}

/// Records that a part of the answer is being sent to the client now.
void request_handler::recordSent()
{
    const auto now = monotonicNow();
    if (m_lastSent) {
        m_longestPause = std::max(m_longestPause, now - *m_lastSent);
    }
    if (!m_firstSent && isStream() && m_service->engine) {
        m_context.shedding.recordFirstEvent(m_service->id, m_head.model, now - m_arrival > m_route->objective, now);
    }
    m_firstSent = m_firstSent.value_or(now);
    m_lastSent = now;
}

/// Sends the head of a stream to the client unless one has been sent. The first replica's head is used; a replica that resumes the stream
/// only adds events.
void request_handler::beginStream(const upstream_head &head)
{
    if (m_hasBegun) {
        return;
    }
    m_hasBegun = true;
    m_status = head.status;
    m_exchange.beginAnswer(head.status, head.reasonPhrase, m_context.dialect.clientHeaders(head.headers), std::nullopt);
}

/// Sends a complete answer to the client. Returns false if the client has closed the connection.
bool request_handler::sendBuffered(const buffered_answer &answer)
{
    m_hasBegun = true;
    m_status = answer.head.status;
    recordSent();
    m_exchange.beginAnswer(
        answer.head.status, answer.head.reasonPhrase, m_context.dialect.clientHeaders(answer.head.headers), answer.body.size());
    const bool isSent = m_exchange.write(answer.body);
    if (isSent) {
        m_exchange.completeAnswer();
        m_context.served.increment();
    }
    return isSent;
}

} // namespace vetchpost
