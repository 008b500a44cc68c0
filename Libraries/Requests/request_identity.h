// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace vetchpost {

/// Identifies the content of a request, whatever its id: a keyed digest in hexadecimal, the same for a request and its repetitions.
using request_identity = identifier<struct request_identity_tag>;
/// The secret key of the digest, shared by all daemons of a deployment, in hexadecimal.
using identity_key = identifier<struct identity_key_tag>;

/// The parts of a request that its identity is computed from.
struct identifying_parts
{
    /// Empty on routes without API keys.
    organisation_id organisation;
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// Creates a key from the system's cryptographic random number generator.
identity_key makeIdentityKey();
/// Returns nothing if the text is not a key.
std::optional<identity_key> parseIdentityKey(const std::string &text);
/// Returns a keyed digest (BLAKE2b) of a list of texts in hexadecimal. It is computed incrementally, without a copy of the texts.
std::string keyedDigest(const identity_key &key, std::initializer_list<std::string_view> parts);
/// Computes the keyed digest of \a parts.
request_identity identityOf(const identity_key &key, const identifying_parts &parts);

} // namespace vetchpost
