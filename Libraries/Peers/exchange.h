// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What daemons tell each other: soft state only, lost with the daemons. docs/design/PEERS.md.
namespace vetchpost {

/// One named value that a daemon says of itself or of what it observes. An empty value means that it was withdrawn.
struct peer_fact
{
    std::string name;
    std::string value;
    std::uint64_t version = 0;
};

/// A value with one order over all daemons: of two, the one with the higher order holds. Its origin does not matter.
struct shared_register
{
    std::string name;
    std::uint64_t major = 0;
    std::uint64_t minor = 0;
    std::string value;
};

/// Registers of this prefix stay inside the data centre.
constexpr auto localRegisterPrefix = "local/";

/// All that is known of one daemon of the own data centre.
struct peer_origin
{
    incarnation run;
    std::uint64_t heartbeat = 0;
    std::uint64_t version = 0;
    std::map<std::string, peer_fact> facts;
    /// When the heartbeat was last seen to rise; nothing where it only was heard of.
    std::optional<instant> advanced;
    /// When it was first heard of in this incarnation.
    instant heard;
};

struct liveness_limits
{
    duration suspectAfter{6000};
    duration deadAfter{15000};
    /// A dead daemon is forgotten after this time.
    duration forgetAfter{600000};
    /// A gap between two of the own ticks that counts as a pause of the own process.
    duration pause{3000};
};

enum class peer_liveness {
    /// Only heard of: its heartbeat has not risen yet.
    unproven,
    alive,
    suspect,
    dead
};

struct exchange_state
{
    daemon_id self;
    std::map<daemon_id, peer_origin> origins;
    std::map<std::string, shared_register> registers;
    liveness_limits limits;
    std::optional<instant> lastTick;
};

struct origin_digest
{
    daemon_id daemon;
    incarnation run;
    std::uint64_t heartbeat = 0;
    std::uint64_t version = 0;
};

struct register_digest
{
    std::string name;
    std::uint64_t major = 0;
    std::uint64_t minor = 0;
};

/// What a daemon knows, without the values.
struct exchange_digest
{
    std::vector<origin_digest> origins;
    std::vector<register_digest> registers;
};

struct origin_delta
{
    daemon_id daemon;
    incarnation run;
    std::uint64_t heartbeat = 0;
    /// The facts are all that changed after this version ...
    std::uint64_t since = 0;
    /// ... up to this one.
    std::uint64_t version = 0;
    std::vector<peer_fact> facts;
};

/// What one daemon knows and another does not.
struct exchange_delta
{
    std::vector<origin_delta> origins;
    std::vector<shared_register> registers;

    bool isEmpty() const
    {
        return origins.empty() && registers.empty();
    }
};

/// What a delta changed.
struct exchange_changes
{
    bool haveFactsChanged = false;
    std::vector<std::string> registers;

    bool isEmpty() const
    {
        return !haveFactsChanged && registers.empty();
    }
};

/// Which part of the state goes to a peer: all of it inside a data centre, only wide registers outside.
enum class exchange_scope { data_centre, wide };

/// The number of one run of a daemon: when it started in its high part, and a number of its own in its low part.
constexpr std::uint64_t incarnationStride = 65536;
incarnation makeIncarnation(std::uint64_t startedAt, std::uint64_t unique);

exchange_state makeExchange(const daemon_id &self, incarnation run, const liveness_limits &limits);

// Commands.

/// Raises the own heartbeat and forgives the peers a pause of the own process.
void beat(exchange_state &state, instant now);
/// Sets one of the own facts; false where it already had this value.
bool setFact(exchange_state &state, const std::string &name, const std::string &value);
/// Sets a register where it is newer than the known one; false where it is not.
bool setRegister(exchange_state &state, const shared_register &value);
/// Takes in the heartbeats of a digest.
void applyDigest(exchange_state &state, const exchange_digest &digest, instant now);
/// Takes in a delta. What is older than the known state changes nothing, however often and in whatever order it comes.
exchange_changes applyDelta(exchange_state &state, const exchange_delta &delta, instant now);
/// Forgets daemons that have long been dead.
void forgetDead(exchange_state &state, instant now);

// Queries.

exchange_digest digestOf(const exchange_state &state, exchange_scope scope);
/// What the sender of \a digest lacks.
exchange_delta deltaFor(const exchange_state &state, const exchange_digest &digest, exchange_scope scope);
/// Whether the sender of \a digest knows something that is unknown here.
bool isBehind(const exchange_state &state, const exchange_digest &digest);
peer_liveness livenessOf(const exchange_state &state, const daemon_id &daemon, instant now);
/// The value of a fact; empty where it is unknown or withdrawn.
std::string factOf(const exchange_state &state, const daemon_id &daemon, const std::string &name);
const shared_register *findRegister(const exchange_state &state, const std::string &name);
/// The daemons of the data centre that are alive or suspect, the own one too, in the order of their names.
std::vector<daemon_id> liveMembers(const exchange_state &state, instant now);

} // namespace vetchpost
