// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

#include <optional>
#include <string>

namespace vetchpost {

/// What a replica says in one answer of the work that it can take.
struct replica_notice
{
    /// Requests a second that it takes from all daemons together.
    std::optional<double> rateLimit;
    /// It takes nothing from this daemon for so long.
    std::optional<duration> rest;
    /// It is about to end.
    bool isLeaving = false;
    /// Whether an answer without a limit tells that there is none.
    bool tellsAll = false;
    /// A value that could not be read; empty where all could.
    std::string unreadable = {};

    bool isEmpty() const
    {
        return !rateLimit && !rest && !isLeaving && unreadable.empty();
    }
};

/// A replica that takes nothing at all is asked this often (a second) whether that is still so.
constexpr double leastRateLimit = 0.05;
/// A replica that wants more rest than this says so again.
constexpr duration longestRest(600000);
/// Where a replica asks for rest in a form that cannot be read.
constexpr duration unreadableRest(1000);

/// A decimal number of requests a second; nothing where the text is none, or negative.
std::optional<double> rateLimitOf(const std::string &text);
/// Seconds, fractions allowed. Nothing where no time is asked for; unreadableRest where the text is no number.
std::optional<duration> restOf(const std::string &text);
/// Whether the text is a finite decimal number.
bool isDecimal(const std::string &text);

} // namespace vetchpost
