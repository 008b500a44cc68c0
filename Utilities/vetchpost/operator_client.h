// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"
#include "Utilities/vetchpost/commands.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace vetchpost {

/// Sends a request to the operators' interface of the daemon that the options name. Returns the reply, whatever its status; if there is
/// none, prints the reason and returns nothing.
std::optional<http_reply> callDaemon(const command_options &options,
                                     const std::string &method,
                                     const std::string &target,
                                     const std::string &body = {},
                                     const std::vector<http_header> &headers = {});
/// Fetches JSON from the daemon with a GET request. Returns nothing if there is no reply or its status is not a success, and prints why.
/// Returns nothing without a message if the body is not JSON.
std::optional<Json::Value> fetchJson(const command_options &options, const std::string &target);
/// Prints the error of a reply with its list of problems and the conflicting edits; the status alone if the body is not a JSON object.
void printErrorReply(const http_reply &reply);

} // namespace vetchpost
