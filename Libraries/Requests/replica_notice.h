// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>
#include <string>

namespace vetchpost {

/// What a replica announces in one answer about the load that it accepts.
struct replica_notice
{
    /// Requests per second that the replica accepts from all daemons together.
    std::optional<double> rateLimit;
    /// How long this daemon must not send requests to the replica.
    std::optional<duration> backoff;
    /// Whether the replica is about to terminate.
    bool isLeaving = false;
    /// Whether an answer without a limit means that there is none.
    bool isExhaustive = false;
    /// A value that could not be parsed; empty if all could.
    std::string unreadable = {};

    bool isEmpty() const
    {
        return !rateLimit && !backoff && !isLeaving && unreadable.empty();
    }
};

/// Requests per second. A replica that accepts no requests at all still gets this many, to find out whether that has changed.
constexpr double minRateLimit = 0.05;
/// The longest backoff that is applied; a replica that needs more has to announce it again.
constexpr duration maxBackoff(600000);
/// The backoff that is applied if a replica's value cannot be parsed.
constexpr duration unreadableBackoff(1000);

/// Parses a decimal number of requests per second. Returns nothing if the text is not a number or negative.
std::optional<double> parseRateLimit(const std::string &text);
/// Parses a number of seconds, which may be fractional. Returns nothing if the text is empty or the number is not positive, and
/// unreadableBackoff if the text is not a number.
std::optional<duration> parseBackoff(const std::string &text);
/// Returns whether the text is a finite decimal number.
bool isDecimal(const std::string &text);

} // namespace vetchpost
