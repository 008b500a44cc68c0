// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"
#include "Libraries/Base/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// The key of the configuration head in the key-value service.
constexpr auto configurationHeadKey = "vetchpost/configuration/head";

/// One accepted edit in the history of the configuration.
struct accepted_edit
{
    edit_id edit;
    revision accepted;
    std::string author;
    /// The time of the edit in milliseconds since the Unix epoch, by the clock of the daemon that accepted it.
    std::int64_t atMilliseconds = 0;
};

/// The value under configurationHeadKey: the configuration in force and the latest edits that led to it, newest first.
struct configuration_head
{
    revision current;
    std::string text;
    std::vector<accepted_edit> history;
};

/// An edit that an operator has submitted.
struct proposed_edit
{
    edit_id edit;
    /// The revision that the edit is based on.
    revision base;
    std::string author;
    std::string text;
    std::int64_t atMilliseconds = 0;
};

/// Encodes a head as JSON, for the key-value service.
std::string toText(const configuration_head &head);
/// Decodes a head. Returns the initial, empty head for an empty text, and nothing if the text is not a JSON object.
std::optional<configuration_head> configurationHeadFrom(const std::string &text);

/// The status of an edit according to a head.
enum class edit_status {
    /// The edit has been accepted: the history of the head contains it.
    accepted,
    /// The edit is based on the current revision, so that it can be written.
    writable,
    /// Another edit has been accepted since the base of this one, which has not been accepted.
    conflicting
};

/// Returns the status of \a edit according to \a head. The id of the edit identifies one that was written although the reply was lost.
edit_status editStatusOf(const proposed_edit &edit, const configuration_head &head);
/// Returns the head that follows \a head when \a edit is accepted.
configuration_head headAfter(const configuration_head &head, const proposed_edit &edit);
/// Returns the edits in the history of \a head that were accepted after revision \a base, newest first.
std::vector<accepted_edit> editsSince(const configuration_head &head, revision base);

} // namespace vetchpost
