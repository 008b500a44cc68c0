// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <array>
#include <string>

namespace vetchpost::test {

/// Receives until the head of a request has arrived, with what arrived after it. Returns false if the peer closes the connection before.
inline bool receiveRequestHead(Poco::Net::StreamSocket &connection)
{
    std::string request;
    std::array<char, 4096> bytes{};
    while (request.find("\r\n\r\n") == std::string::npos) {
        const auto count = connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count <= 0) {
            return false;
        }
        request.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace vetchpost::test
