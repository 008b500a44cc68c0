// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Requests/rate_permits.h"

#include <optional>

namespace vetchpost {

/// Why a replica must not be sent a request now.
enum class closure_cause {
    none,
    /// It asked this daemon for rest.
    rest,
    /// It has named a limit, and this daemon holds no permit.
    limit,
    /// It is about to end.
    leaving
};

struct place_closure
{
    closure_cause cause = closure_cause::none;
    /// When it may be sent one; nothing for one that leaves.
    std::optional<instant> until;
};

place_closure closureOf(const replica_constraints &table, const permit_wallet &wallet, const replica_key &replica, instant now);

} // namespace vetchpost
