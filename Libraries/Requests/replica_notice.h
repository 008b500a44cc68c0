// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>
#include <string>
#include <vector>

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

/// What a replica's answer says about its remaining cold time.
struct cold_notice
{
    /// Nothing if the answer does not say it.
    std::optional<duration> left;
    /// A value that could not be parsed; empty if all could.
    std::string unreadable = {};
};

/// Reads the values of the header with the remaining cold time, in milliseconds. If it is given several times, the longest valid value
/// applies and all are reported as unreadable.
cold_notice parseColdTimes(const std::vector<std::string> &values);

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
