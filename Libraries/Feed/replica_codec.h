// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_messages.h"

#include <json/value.h>

namespace vetchpost {

/// A change of a replica's entry as a list of values without names, so that several fit into one datagram.
Json::Value encodedChange(const replica_change &change);
/// Nothing where the value is no change.
std::optional<replica_change> decodedChange(const Json::Value &json);

} // namespace vetchpost
