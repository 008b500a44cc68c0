// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// State that daemons replicate among each other by periodic anti-entropy exchanges of digests and deltas. It is soft state, kept in memory
/// only and lost when the daemons stop. See docs/design/PEERS.md.
namespace vetchpost {

/// A named value that a daemon publishes about itself or about what it observes. An empty value means that it was withdrawn.
struct peer_fact
{
    std::string name;
    std::string value;
    std::uint64_t version = 0;
};

/// A named value that any daemon may write. Versions are ordered by (major, minor); the highest version wins, whichever daemon wrote it.
struct shared_register
{
    std::string name;
    std::uint64_t major = 0;
    std::uint64_t minor = 0;
    std::string value;
};

/// Registers whose names have this prefix are not sent to other data centres.
constexpr auto localRegisterPrefix = "local/";

/// What is known of one daemon of this data centre, and of what it published.
struct peer_origin
{
    incarnation run;
    std::uint64_t heartbeat = 0;
    /// Raised with each change of the daemon's facts; all facts up to this version are known.
    std::uint64_t version = 0;
    std::map<std::string, peer_fact> facts;
    /// When the heartbeat was last seen to rise, or a newer incarnation was first seen; nothing before either.
    std::optional<instant> heartbeatAdvancedAt;
    /// When this incarnation of the daemon first became known.
    instant firstSeenAt;
};

/// Time limits for judging whether a daemon is alive, in milliseconds.
struct liveness_limits
{
    /// A daemon is suspect when its heartbeat has not risen for longer than this time.
    duration suspectAfter{6000};
    /// A daemon is dead when its heartbeat has not risen for longer than this time.
    duration deadAfter{15000};
    /// The state of a daemon is removed when its heartbeat has not risen for longer than this time.
    duration removeAfter{600000};
    /// A longer gap between two calls of advanceHeartbeat() means that the process of this daemon was paused.
    duration pauseThreshold{3000};
};

enum class peer_liveness {
    /// Known through other daemons only: its heartbeat has not been seen to rise yet.
    unproven,
    alive,
    suspect,
    dead
};

/// All replicated state that this daemon knows.
struct exchange_state
{
    daemon_id self;
    std::map<daemon_id, peer_origin> origins;
    std::map<std::string, shared_register> registers;
    liveness_limits limits;
    /// When advanceHeartbeat() was last called; nothing before its first call.
    std::optional<instant> lastTick;
};

/// The versions that a daemon knows of one daemon's state.
struct origin_digest
{
    daemon_id daemon;
    incarnation run;
    std::uint64_t heartbeat = 0;
    std::uint64_t version = 0;
};

/// The version that a daemon knows of one register.
struct register_digest
{
    std::string name;
    std::uint64_t major = 0;
    std::uint64_t minor = 0;
};

/// The versions of all state that a daemon knows, without the values.
struct exchange_digest
{
    std::vector<origin_digest> origins;
    std::vector<register_digest> registers;
};

/// The changes of one daemon's facts over a range of versions.
struct origin_delta
{
    daemon_id daemon;
    incarnation run;
    std::uint64_t heartbeat = 0;
    /// The version that the changes build on: `facts` holds every fact that changed after it.
    std::uint64_t since = 0;
    /// The version that the changes lead to.
    std::uint64_t version = 0;
    std::vector<peer_fact> facts;
};

/// The state that one daemon knows and another lacks.
struct exchange_delta
{
    std::vector<origin_delta> origins;
    std::vector<shared_register> registers;

    bool isEmpty() const
    {
        return origins.empty() && registers.empty();
    }
};

/// What the application of a delta changed.
struct exchange_changes
{
    bool haveFactsChanged = false;
    /// The names of the registers that changed.
    std::vector<std::string> registers;

    bool isEmpty() const
    {
        return !haveFactsChanged && registers.empty();
    }
};

/// Which part of the state is sent to a peer: all of it inside the data centre; to other data centres (`wide`) only the registers that are
/// not local.
enum class exchange_scope { data_centre, wide };

/// Number of unique ids per start time in an incarnation number.
constexpr std::uint64_t incarnationStride = 65536;
/// Returns the number of one run of a daemon: its start time in the high part, and \a unique, which tells runs with the same start time
/// apart, in the low part.
incarnation makeIncarnation(std::uint64_t startedAt, std::uint64_t unique);

/// Returns the state of a daemon that knows only itself.
exchange_state makeExchange(const daemon_id &self, incarnation run, const liveness_limits &limits);

// Commands.

/// Increments this daemon's heartbeat. After a pause of its own process, also extends the time limits of all peers by the pause.
void advanceHeartbeat(exchange_state &state, instant now);
/// Publishes a fact of this daemon; an empty value withdraws it. Returns false if it already had this value.
bool setFact(exchange_state &state, const std::string &name, const std::string &value);
/// Sets a register if it is unknown or \a value is newer than the known version; returns whether it was set.
bool setRegister(exchange_state &state, const shared_register &value);
/// Applies the heartbeats of a digest to the daemons that are already known in the same incarnation.
void applyDigest(exchange_state &state, const exchange_digest &digest, instant now);
/// Applies a delta. Deltas may arrive repeatedly and in any order: whatever is not newer than the known state is ignored.
exchange_changes applyDelta(exchange_state &state, const exchange_delta &delta, instant now);
/// Removes the state of other daemons whose heartbeat has not risen for longer than `removeAfter`, or that never rose in that time since
/// they became known.
void removeDeadDaemons(exchange_state &state, instant now);

// Queries.

/// Returns the digest of the part of the state that is in \a scope.
exchange_digest digestOf(const exchange_state &state, exchange_scope scope);
/// Returns the part of the state in \a scope that the sender of \a digest lacks.
exchange_delta deltaFor(const exchange_state &state, const exchange_digest &digest, exchange_scope scope);
/// Whether the sender of \a digest knows state that this daemon lacks.
bool isBehind(const exchange_state &state, const exchange_digest &digest);
/// Judges a daemon by the time since its heartbeat last rose; this daemon itself is always alive.
peer_liveness livenessOf(const exchange_state &state, const daemon_id &daemon, instant now);
/// Returns the value of a daemon's fact; empty if it is unknown or withdrawn.
std::string factOf(const exchange_state &state, const daemon_id &daemon, const std::string &name);
/// Returns nullptr if the register is unknown.
const shared_register *findRegister(const exchange_state &state, const std::string &name);
/// Returns the daemons of this data centre that are alive or suspect, including this one, sorted by id.
std::vector<daemon_id> liveMembers(const exchange_state &state, instant now);

} // namespace vetchpost
