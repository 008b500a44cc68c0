// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <json/value.h>

namespace vetchpost {

/// Encodes a change of a replica's entry as an array of values without names, so that several changes fit into one datagram. The era of its
/// revision is left out: it is that of all revisions of the update.
Json::Value encodeChange(const replica_change &change);
/// Returns the change, or nothing if the value is not a valid one.
std::optional<replica_change> decodeChange(const Json::Value &json, store_era era);

} // namespace vetchpost
