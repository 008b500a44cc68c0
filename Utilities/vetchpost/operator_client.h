// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_message.h"
#include "Utilities/vetchpost/commands.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace vetchpost {

/// Calls the operators' interface of the daemon that the options name; what went wrong is printed.
std::optional<http_reply> callDaemon(const command_options &options,
                                     const std::string &method,
                                     const std::string &target,
                                     const std::string &body = {},
                                     const std::vector<http_header> &headers = {});
/// As callDaemon() for a JSON answer; nothing, with the refusal printed, where it was refused.
std::optional<Json::Value> fetchJson(const command_options &options, const std::string &target);
/// Prints the error of a reply.
void printRefusal(const http_reply &reply);

} // namespace vetchpost
