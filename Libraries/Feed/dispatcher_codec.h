// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/dispatcher_list.h"

#include <json/value.h>

#include <optional>

/// The form of dispatchers and candidates in the feed's datagrams.
namespace vetchpost {

Json::Value encodeCandidate(const dispatcher_candidate &candidate);
/// Leaves out candidates that are invalid.
std::vector<dispatcher_candidate> decodeCandidates(const Json::Value &json);
Json::Value encodeDispatchers(const dispatcher_list &list);
/// Returns nothing if any part of the list is invalid, so that the receiver keeps the list that it has.
std::optional<dispatcher_list> decodeDispatchers(const Json::Value &json);

} // namespace vetchpost
