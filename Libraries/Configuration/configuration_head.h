// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// The key of the head in the key-value service.
constexpr auto configurationHeadKey = "vetchpost/configuration/head";

/// One accepted edit, as the history tells it.
struct accepted_edit
{
    edit_id edit;
    revision accepted;
    std::string author;
    /// Calendar time in milliseconds, by the clock of the daemon that accepted it.
    std::int64_t atMilliseconds = 0;
};

/// The value of the head: the configuration in force and the edits that led to it, newest first.
struct configuration_head
{
    revision current;
    std::string text;
    std::vector<accepted_edit> history;
};

/// An edit that an operator sends.
struct proposed_edit
{
    edit_id edit;
    /// The revision that the operator saw.
    revision base;
    std::string author;
    std::string text;
    std::int64_t atMilliseconds = 0;
};

std::string toText(const configuration_head &head);
std::optional<configuration_head> configurationHeadFrom(const std::string &text);

/// What is known of an edit by the head alone.
enum class edit_standing {
    /// The head contains it: it was accepted.
    accepted,
    /// The head is the one that the edit was made for: it can be written.
    writable,
    /// Another edit was accepted since; this one never was.
    conflicting
};

/// Where \a edit stands beside \a head. An edit that was written although its reply was lost is found by its id.
edit_standing standingOf(const proposed_edit &edit, const configuration_head &head);
/// The head after the edit is accepted.
configuration_head headAfter(const configuration_head &head, const proposed_edit &edit);
/// The accepted edits that \a edit did not know of, newest first.
std::vector<accepted_edit> editsSince(const configuration_head &head, revision base);

} // namespace vetchpost
