// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace vetchpost {

/// How one try at one replica ended.
enum class try_end {
    /// The client has its whole answer.
    answered,
    /// Nothing was sent.
    not_sent,
    /// The replica says that it did not run the request.
    not_run,
    /// The answer broke off, or was not this request's.
    lost,
    /// The replica is silent for longer than is reasonable.
    silent,
    /// The replica's own failure, kept to be passed on where nobody does better.
    failed,
    caller_left,
    timed_out,
    /// Given up before it answered, since replicas have ended under the same request elsewhere.
    withdrawn,
    count
};

std::string_view tryEndName(try_end end);

} // namespace vetchpost
