// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_messages.h"
#include "Libraries/Entry/dispatch_socket.h"
#include "Libraries/Entry/dispatcher_directory.h"
#include "Libraries/Entry/entry_view.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// A slot that a dispatcher has granted to one attempt; it must be released.
struct slot_place
{
    named_dispatcher dispatcher;
    std::uint64_t ticket = 0;
};

enum class placement_end {
    /// The attempt may be sent to the head.
    granted,
    /// The request must not be sent; the client should return after the stated time.
    refused,
    /// No dispatcher placed the request: a backend is chosen without one.
    unplaced,
    /// The client has disconnected.
    caller_left
};

/// How a request for a slot ended.
struct placement
{
    placement_end end = placement_end::unplaced;
    /// Set if granted.
    instance_id head;
    std::optional<slot_place> place;
    /// Set if refused.
    duration retryAfter{};
    /// If unplaced because a dispatcher does not answer: the heads of the other dispatchers. They know nothing of a request that is sent to
    /// their groups without them.
    std::vector<instance_id> headsOfOthers;
    /// Which daemon placed or refused the request and how long that took, for the log; empty if no dispatcher is named.
    std::string text;
};

/// Asks the dispatchers for slots and releases them. A dispatcher that does not answer is not asked for a while. Thread-safe.
class dispatch_client
{
public:
    dispatch_client(dispatch_socket &socket, const dispatcher_directory &directory, metrics &counters);
    ~dispatch_client();
    dispatch_client(const dispatch_client &) = delete;
    dispatch_client &operator=(const dispatch_client &) = delete;

    /// Requests a slot at one of the candidates and waits for the answer, at most until the deadline of the request. The ticket of the
    /// request is set here. \a clientSocket is polled for a disconnect, -1 for none.
    placement requestPlace(slot_request request, const std::vector<backend> &candidates, int clientSocket);
    void release(const slot_place &place, slot_end end);
    /// Counts a grant that was not used, and releases it.
    void releaseUnused(const slot_place &place);
    /// Passes an answer on to the request that waits for it. Ignores answers that do not come from the dispatcher that was asked.
    void handleAnswer(const slot_answer &answer, const endpoint &from);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
