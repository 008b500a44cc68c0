// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <array>
#include <optional>
#include <string>

namespace vetchpost::test {

/// Receives until the head of a request has arrived, and returns it with what arrived after it. Returns nothing if the peer closes the
/// connection before.
inline std::optional<std::string> receiveRequestHead(Poco::Net::StreamSocket &connection)
{
    std::string request;
    std::array<char, 4096> bytes{};
    while (request.find("\r\n\r\n") == std::string::npos) {
        const auto count = connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count <= 0) {
            return std::nullopt;
        }
        request.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return request;
}

} // namespace vetchpost::test
