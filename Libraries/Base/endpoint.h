// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace vetchpost {

/// An IP number and a port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
    /// The form "host:port".
    std::string text() const;
};

/// Reads the form "host:port" with an IPv4 number; nothing where the text is not one.
std::optional<endpoint> parseEndpoint(const std::string &text);

} // namespace vetchpost
