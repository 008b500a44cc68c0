// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/request_identity.h"

#include <sodium.h>

#include <array>
#include <vector>

namespace vetchpost {

namespace {

constexpr std::size_t keyBytes = crypto_generichash_KEYBYTES;
/// Long enough that identities do not collide by chance, nor can a client without the key make them collide.
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

void hashText(crypto_generichash_state &state, std::string_view text)
{
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(text.data()), text.size());
}

/// Hashes a part with its length as a prefix, so that no two lists of parts yield the same bytes.
void hashPart(crypto_generichash_state &state, std::string_view part)
{
    const std::uint64_t size = part.size();
    hashText(state, {reinterpret_cast<const char *>(&size), sizeof size});
    hashText(state, part);
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

std::string keyedDigest(const identity_key &key, std::initializer_list<std::string_view> parts)
{
    const auto secret = bytesOf(key.value());
    crypto_generichash_state state;
    crypto_generichash_init(&state, secret.data(), secret.size(), identityBytes);
    for (const auto part : parts) {
        hashPart(state, part);
    }
    std::array<unsigned char, identityBytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    return hexOf(digest.data(), digest.size());
}

// Prompts can be guessed, and without the key nobody who reads the log or the datagrams can verify a guess. The organisation is included,
// so that no client can cause another's requests to be refused.
request_identity identityOf(const identity_key &key, const identifying_parts &parts)
{
    return request_identity(keyedDigest(key, {parts.organisation.value(), parts.method, parts.host, parts.target, parts.body}));
}

} // namespace vetchpost
