// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace vetchpost {

/// An IPv4 address and a port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
    /// Returns the endpoint in the form "host:port".
    std::string text() const;
};

/// Parses "host:port" with a numeric IPv4 address and a port from 1 to 65535. Returns nothing for any other text.
std::optional<endpoint> parseEndpoint(const std::string &text);

} // namespace vetchpost
