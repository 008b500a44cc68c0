// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Http/body_framing.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSession.h>

#include <string>

namespace vetchpost {

/// Reads the head of a response until \a deadline, skipping interim responses, and nothing of its body. Throws Poco::TimeoutException if it
/// is not complete in time, and Poco::Net::MessageException if it is invalid.
Poco::Net::HTTPResponse readResponseHead(Poco::Net::HTTPSession &session, instant deadline);

/// Reads the body of one message from a POCO session, up to its end and not beyond it. Unlike POCO's streams, it distinguishes a complete
/// body from one whose connection was closed or whose chunked encoding is invalid.
class body_reader
{
public:
    /// The head of the message must have been read, and nothing of its body.
    body_reader(Poco::Net::HTTPSession &session, const body_decoder &decoder);

    /// Appends the bytes of the body that have arrived to \a body and returns the new state. Waits if nothing has arrived, and throws
    /// Poco::TimeoutException after the receive timeout of the session's socket. A connection that was reset breaks the body.
    body_decoder::state read(std::string &body);
    body_decoder::state current() const;
    /// As read(), but throws Poco::TimeoutException if nothing arrives until \a deadline. Sets the receive timeout of the session's socket.
    body_decoder::state read(std::string &body, instant deadline);
    /// Whether read() would return without waiting for the peer, because bytes of this or a later message have already been received.
    bool hasBuffered() const;

private:
    Poco::Net::HTTPSession &m_session;
    body_decoder m_decoder;
};

} // namespace vetchpost
