// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/body_reader.h"

#include "Libraries/Http/poco_timespan.h"
#include "Libraries/Http/response_head.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <optional>

namespace vetchpost {

namespace {

constexpr std::size_t readSize = 16384;

/// Gives access to the reading functions of POCO's sessions, which are reserved for POCO's own streams.
class session_access : public Poco::Net::HTTPSession
{
public:
    /// The next byte; nothing at the end of the connection. Fills the session's buffer if that is empty. The session's own get() returns a
    /// plain char, which may be signed: bytes above 127 are then negative, as the end is.
    static std::optional<char> nextByte(Poco::Net::HTTPSession &session)
    {
        (session.*&session_access::peek)();
        char byte = 0;
        return hasBuffered(session) && readInto(session, &byte, 1) == 1 ? std::optional(byte) : std::nullopt;
    }

    /// Reads at most \a size bytes from the session's buffer or, if that is empty, from the socket. 0 at the end of the connection.
    static int readInto(Poco::Net::HTTPSession &session, char *buffer, std::size_t size)
    {
        return (session.*&session_access::read)(buffer, static_cast<std::streamsize>(size));
    }

    static bool hasBuffered(const Poco::Net::HTTPSession &session)
    {
        return (session.*&session_access::buffered)() > 0;
    }
};

/// Lets reads from the session's socket wait until \a deadline at most. Throws Poco::TimeoutException if that has passed.
void limitReads(Poco::Net::HTTPSession &session, instant deadline)
{
    const auto left = deadline - monotonicNow();
    if (left <= duration()) {
        throw Poco::TimeoutException();
    }
    session.socket().setReceiveTimeout(timespanOf(left));
}

} // namespace

Poco::Net::HTTPResponse readResponseHead(Poco::Net::HTTPSession &session, instant deadline)
{
    response_head_decoder head;
    while (head.current() == response_head_decoder::state::needs_more) {
        if (!session_access::hasBuffered(session)) {
            limitReads(session, deadline);
        }
        if (const auto byte = session_access::nextByte(session)) {
            head.consume({&*byte, 1});
        } else {
            head.consumeEnd();
        }
    }
    if (head.current() == response_head_decoder::state::invalid) {
        throw Poco::Net::MessageException("the response has an invalid head: " + head.problem());
    }
    return head.response();
}

body_reader::body_reader(Poco::Net::HTTPSession &session, const body_decoder &decoder)
    : m_session(session)
    , m_decoder(decoder)
{
}

body_decoder::state body_reader::read(std::string &body)
{
    std::array<char, readSize> bytes;
    try {
        do {
            const auto wanted = std::min<std::uint64_t>(m_decoder.readableBytes(), bytes.size());
            int count = 0;
            if (wanted == 1) {
                const auto byte = session_access::nextByte(m_session);
                bytes[0] = byte.value_or(0);
                count = byte ? 1 : 0;
            } else if (wanted > 1) {
                count = session_access::readInto(m_session, bytes.data(), wanted);
            }
            if (wanted > 0 && count <= 0) {
                return m_decoder.consumeEnd();
            }
            m_decoder.consume({bytes.data(), static_cast<std::size_t>(count)}, body);
        } while (m_decoder.current() == body_decoder::state::needs_more && hasBuffered());
    } catch (const Poco::TimeoutException &) {
        throw;
    } catch (const Poco::Exception &) {
        // A reset connection means a truncated body, even if the body ends with its connection.
        m_decoder.fail();
    }
    return m_decoder.current();
}

body_decoder::state body_reader::read(std::string &body, instant deadline)
{
    limitReads(m_session, deadline);
    return read(body);
}

body_decoder::state body_reader::current() const
{
    return m_decoder.current();
}

bool body_reader::hasBuffered() const
{
    return session_access::hasBuffered(m_session);
}

} // namespace vetchpost
