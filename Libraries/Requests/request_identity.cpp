// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/request_identity.h"

#include <sodium.h>

#include <array>
#include <vector>

namespace vetchpost {

namespace {

constexpr std::size_t keyBytes = crypto_generichash_KEYBYTES;
/// Chance does not bring two requests together, nor can a caller who does not know the key.
constexpr std::size_t identityBytes = crypto_generichash_BYTES_MIN;

std::string hexOf(const unsigned char *bytes, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, size);
    text.pop_back();
    return text;
}

std::vector<unsigned char> bytesOf(const std::string &hex)
{
    std::vector<unsigned char> bytes(hex.size() / 2);
    std::size_t size = 0;
    const bool isHex = sodium_hex2bin(bytes.data(), bytes.size(), hex.data(), hex.size(), nullptr, &size, nullptr) == 0;
    bytes.resize(isHex ? size : 0);
    return bytes;
}

void take(crypto_generichash_state &state, std::string_view text)
{
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(text.data()), text.size());
}

/// Its length goes before each part, so that no two lists of parts give the same bytes.
void takePart(crypto_generichash_state &state, std::string_view part)
{
    const std::uint64_t size = part.size();
    take(state, {reinterpret_cast<const char *>(&size), sizeof size});
    take(state, part);
}

} // namespace

identity_key makeIdentityKey()
{
    std::array<unsigned char, keyBytes> key{};
    crypto_generichash_keygen(key.data());
    return identity_key(hexOf(key.data(), key.size()));
}

std::optional<identity_key> parseIdentityKey(const std::string &text)
{
    return bytesOf(text).size() == keyBytes ? std::optional(identity_key(text)) : std::nullopt;
}

// BLAKE2b with a key: prompts can be guessed, and without the key nobody who reads the log or the datagrams can try a guess. The
// organisation is a part of it, so that no caller can have another's requests refused. A streaming digest copies no body.
request_identity identityOf(const identity_key &key, const identifying_parts &parts)
{
    const auto secret = bytesOf(key.value());
    crypto_generichash_state state;
    crypto_generichash_init(&state, secret.data(), secret.size(), identityBytes);
    for (const auto part : {std::string_view(parts.organisation.value()), parts.method, parts.host, parts.target, parts.body}) {
        takePart(state, part);
    }
    std::array<unsigned char, identityBytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    return request_identity(hexOf(digest.data(), digest.size()));
}

} // namespace vetchpost
