// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

namespace vetchpost {

/// How one attempt to run a request on one replica ended.
enum class attempt_outcome {
    /// The client has received the whole answer.
    answered,
    /// The replica could not be reached; nothing was sent.
    not_sent,
    /// The replica reported that it did not run the request.
    not_run,
    /// The answer broke off or belonged to another request.
    lost,
    /// The replica sent nothing for too long.
    silent,
    /// The replica returned a server error, which is kept in case no other replica succeeds.
    failed,
    caller_left,
    timed_out,
    /// The attempt was cancelled before it was answered, because replicas have crashed running the same request elsewhere.
    withdrawn,
    /// This daemon is cut off from the replicas, and no other one has room for a tunnel; nothing was sent.
    no_path,
    count
};

/// Why a request is sent to a second replica while the first one still holds it.
enum class race_cause {
    /// The network loses packets, and the stream's next event is late.
    losses,
    /// The first replica has sent nothing for too long.
    silence
};

/// The name of an outcome in the log and in metrics.
std::string_view attemptOutcomeName(attempt_outcome outcome);

} // namespace vetchpost
