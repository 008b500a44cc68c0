// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Dispatch/slot_request.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The datagrams between daemons that ask for slots and dispatchers (docs/design/SLOT-DISPATCH.md).
namespace vetchpost {

/// No datagram is larger, in bytes, so that none is fragmented.
constexpr std::size_t maxSlotDatagram = 1200;
/// Each request and each release repeats this many of the last releases to the same dispatcher.
constexpr std::size_t repeatedReleases = 8;

/// The end of a request that holds a slot, or that waits for one and no longer wants it.
struct slot_release
{
    std::uint64_t ticket = 0;
    slot_end end = slot_end::done;

    bool operator==(const slot_release &) const = default;
};

/// Asks a dispatcher for a slot.
struct slot_request_message
{
    slot_request request;
    /// The last releases, the oldest first.
    std::vector<slot_release> releases;
};

/// Tells a dispatcher of slots that are free.
struct slot_release_message
{
    /// The last releases, the oldest first.
    std::vector<slot_release> releases;
};

/// A slot_answer carries no address: its asker is the daemon that receives it.
using slot_message = std::variant<slot_request_message, slot_release_message, slot_answer>;

/// Returns the message as the payload of a datagram. The oldest releases are left out if it would be too large; returns nothing if it is
/// too large without any.
std::optional<std::string> encodeSlotMessage(const slot_message &message);
/// Returns the message in a datagram's payload; nothing if it is of another version or not a valid message. Values outside the possible
/// range are clamped.
std::optional<slot_message> decodeSlotMessage(std::string_view bytes);

/// The name of a verdict in messages, in the log and in metrics.
std::string_view slotVerdictName(slot_verdict verdict);

} // namespace vetchpost
