// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/connection_eviction.h"

#include <utility>

namespace vetchpost {

namespace {

/// A body of which nothing has arrived for this long stands still.
constexpr duration stallTime(300);
/// An ordinary client sends the head of its first request with the connection, and only the loss of a packet delays it for longer.
constexpr duration shortestHeadTime(100);
/// A client that sends its requests one after another sends the next one sooner.
constexpr duration shortestIdleTime(1000);

/// Connections of a higher rank are closed first.
enum class eviction_rank { never, between_requests, stalled_body, before_request, answered };

eviction_rank rankOf(const connection_state &connection)
{
    switch (connection.phase) {
    case connection_phase::closing:
        return eviction_rank::answered;
    case connection_phase::head:
        return connection.waiting >= shortestHeadTime ? eviction_rank::before_request : eviction_rank::never;
    case connection_phase::body:
        return connection.waiting >= stallTime ? eviction_rank::stalled_body : eviction_rank::never;
    case connection_phase::idle:
        if (!connection.hasServed) {
            return connection.waiting >= shortestHeadTime ? eviction_rank::before_request : eviction_rank::never;
        }
        return connection.waiting >= shortestIdleTime ? eviction_rank::between_requests : eviction_rank::never;
    case connection_phase::handling:
        break;
    }
    return eviction_rank::never;
}

} // namespace

// Of the connections without a whole head, the one that has waited longest is least likely to be an ordinary client's. Kept connections
// come last: a request may already be on its way.
std::optional<std::size_t> connectionToClose(const std::vector<connection_state> &connections)
{
    std::optional<std::size_t> chosen;
    auto highest = std::pair(eviction_rank::never, duration());
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const auto rank = std::pair(rankOf(connections[i]), connections[i].waiting);
        if (rank.first != eviction_rank::never && (!chosen || rank > highest)) {
            chosen = i;
            highest = rank;
        }
    }
    return chosen;
}

} // namespace vetchpost
