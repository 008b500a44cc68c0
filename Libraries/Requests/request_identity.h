// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"

#include <optional>
#include <string>
#include <string_view>

namespace vetchpost {

/// What a request and its repeats under other ids have in common, as a keyed digest in hexadecimal.
using request_identity = identifier<struct request_identity_tag>;
/// The secret that all daemons of a deployment digest with, in hexadecimal.
using identity_key = identifier<struct identity_key_tag>;

/// What tells one request from another, beside its id.
struct identifying_parts
{
    /// Empty on routes without keys.
    organisation_id organisation;
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// A new secret key from the system's source of randomness.
identity_key makeIdentityKey();
/// Nothing where the text is no key.
std::optional<identity_key> parseIdentityKey(const std::string &text);
request_identity identityOf(const identity_key &key, const identifying_parts &parts);

} // namespace vetchpost
