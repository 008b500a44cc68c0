// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace vetchpost {

std::string endpoint::text() const
{
    return host + ":" + std::to_string(port);
}

std::optional<endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    endpoint result;
    result.host = text.substr(0, colon);
    in_addr address{};
    if (inet_pton(AF_INET, result.host.c_str(), &address) != 1) {
        return std::nullopt;
    }
    const auto *begin = text.data() + colon + 1;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(begin, end, result.port);
    if (error != std::errc() || rest != end || result.port == 0) {
        return std::nullopt;
    }
    return result;
}

} // namespace vetchpost
