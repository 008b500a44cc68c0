// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Peers/exchange.h"

#include <algorithm>
#include <tuple>

namespace vetchpost {

namespace {

bool isNewer(const shared_register &candidate, const shared_register &known)
{
    return std::tie(candidate.major, candidate.minor) > std::tie(known.major, known.minor);
}

bool isInScope(const std::string &registerName, exchange_scope scope)
{
    return scope == exchange_scope::data_centre || !registerName.starts_with(localRegisterPrefix);
}

/// Applies a heartbeat of a known daemon. Only a rise above a heartbeat that was already known proves that the daemon runs now: the first
/// one that arrives may be relayed state of a daemon that died long ago.
void applyHeartbeat(peer_origin &origin, std::uint64_t heartbeat, instant now)
{
    if (heartbeat <= origin.heartbeat) {
        return;
    }
    origin.heartbeat = heartbeat;
    origin.heartbeatAdvancedAt = now;
}

/// Returns the state of \a daemon in incarnation \a run, and creates it if needed. Returns nullptr if a newer incarnation is already known.
peer_origin *findOrCreateOrigin(exchange_state &state, const daemon_id &daemon, incarnation run, std::uint64_t heartbeat, instant now)
{
    const auto found = state.origins.find(daemon);
    if (found == state.origins.end()) {
        peer_origin fresh;
        fresh.run = run;
        fresh.heartbeat = heartbeat;
        fresh.firstSeenAt = now;
        return &state.origins.emplace(daemon, std::move(fresh)).first->second;
    }
    auto &known = found->second;
    if (run < known.run) {
        return nullptr;
    }
    if (run > known.run) {
        // The daemon was restarted: the state of its earlier incarnation is obsolete.
        known = peer_origin();
        known.run = run;
        known.heartbeat = heartbeat;
        known.firstSeenAt = now;
        known.heartbeatAdvancedAt = now;
    }
    return &known;
}

/// Raises the incarnation of this daemon above one that a peer reports, if that is higher, or the same with a higher heartbeat. It belongs
/// to an earlier run of this daemon whose clock ran ahead, or which started at the same time; without the raise, peers would ignore the
/// present run. The low part of the number stays, because another earlier run may have been raised above the same incarnation before.
void raiseOwnIncarnation(exchange_state &state, incarnation reportedRun, std::uint64_t reportedHeartbeat)
{
    auto &own = state.origins.at(state.self);
    if (std::tie(reportedRun, reportedHeartbeat) > std::tie(own.run, own.heartbeat)) {
        own.run = makeIncarnation(reportedRun.value() / incarnationStride + 1, own.run.value());
    }
}

std::vector<peer_fact> factsAfter(const peer_origin &origin, std::uint64_t version)
{
    std::vector<peer_fact> facts;
    for (const auto &[name, fact] : origin.facts) {
        if (fact.version > version) {
            facts.push_back(fact);
        }
    }
    return facts;
}

} // namespace

incarnation makeIncarnation(std::uint64_t startedAt, std::uint64_t unique)
{
    return incarnation(startedAt * incarnationStride + unique % incarnationStride);
}

exchange_state makeExchange(const daemon_id &self, incarnation run, const liveness_limits &limits)
{
    exchange_state state;
    state.self = self;
    state.limits = limits;
    state.origins[self].run = run;
    return state;
}

void advanceHeartbeat(exchange_state &state, instant now)
{
    if (state.lastTick && now - *state.lastTick > state.limits.pauseThreshold) {
        // This process was paused and could not receive heartbeats, so the pause does not count towards the peers' time limits.
        const auto gap = now - *state.lastTick;
        for (auto &[daemon, origin] : state.origins) {
            if (origin.heartbeatAdvancedAt) {
                *origin.heartbeatAdvancedAt += gap;
            }
        }
    }
    state.lastTick = now;
    auto &own = state.origins.at(state.self);
    ++own.heartbeat;
    own.heartbeatAdvancedAt = now;
}

bool setFact(exchange_state &state, const std::string &name, const std::string &value)
{
    auto &own = state.origins.at(state.self);
    const auto known = own.facts.find(name);
    if (known != own.facts.end() ? known->second.value == value : value.empty()) {
        return false;
    }
    own.facts[name] = {name, value, ++own.version};
    return true;
}

bool setRegister(exchange_state &state, const shared_register &value)
{
    auto &known = state.registers[value.name];
    if (!known.name.empty() && !isNewer(value, known)) {
        return false;
    }
    known = value;
    return true;
}

void applyDigest(exchange_state &state, const exchange_digest &digest, instant now)
{
    for (const auto &entry : digest.origins) {
        if (entry.daemon == state.self) {
            raiseOwnIncarnation(state, entry.run, entry.heartbeat);
        } else if (const auto known = state.origins.find(entry.daemon); known != state.origins.end() && known->second.run == entry.run) {
            applyHeartbeat(known->second, entry.heartbeat, now);
        }
    }
}

exchange_changes applyDelta(exchange_state &state, const exchange_delta &delta, instant now)
{
    exchange_changes changes;
    for (const auto &received : delta.origins) {
        if (received.daemon == state.self) {
            raiseOwnIncarnation(state, received.run, received.heartbeat);
            continue;
        }
        auto *origin = findOrCreateOrigin(state, received.daemon, received.run, received.heartbeat, now);
        if (origin == nullptr) {
            continue;
        }
        applyHeartbeat(*origin, received.heartbeat, now);
        if (received.since > origin->version) {
            // The changes between the known version and the delta's base are missing. If the version were raised, no peer would send them.
            continue;
        }
        for (const auto &fact : received.facts) {
            auto &known = origin->facts[fact.name];
            if (fact.version > known.version) {
                known = fact;
                changes.haveFactsChanged = true;
            }
        }
        origin->version = std::max(origin->version, received.version);
    }
    for (const auto &value : delta.registers) {
        if (setRegister(state, value)) {
            changes.registers.push_back(value.name);
        }
    }
    return changes;
}

void removeDeadDaemons(exchange_state &state, instant now)
{
    std::erase_if(state.origins, [&](const auto &entry) {
        const auto &[daemon, origin] = entry;
        return daemon != state.self && now - origin.heartbeatAdvancedAt.value_or(origin.firstSeenAt) > state.limits.removeAfter;
    });
}

exchange_digest digestOf(const exchange_state &state, exchange_scope scope)
{
    exchange_digest digest;
    if (scope == exchange_scope::data_centre) {
        for (const auto &[daemon, origin] : state.origins) {
            digest.origins.push_back({daemon, origin.run, origin.heartbeat, origin.version});
        }
    }
    for (const auto &[name, value] : state.registers) {
        if (isInScope(name, scope)) {
            digest.registers.push_back({name, value.major, value.minor});
        }
    }
    return digest;
}

exchange_delta deltaFor(const exchange_state &state, const exchange_digest &digest, exchange_scope scope)
{
    exchange_delta delta;
    std::map<daemon_id, const origin_digest *> theirOrigins;
    for (const auto &entry : digest.origins) {
        theirOrigins.emplace(entry.daemon, &entry);
    }
    if (scope == exchange_scope::data_centre) {
        for (const auto &[daemon, origin] : state.origins) {
            const auto known = theirOrigins.find(daemon);
            const bool isSameRun = known != theirOrigins.end() && known->second->run == origin.run;
            if (known != theirOrigins.end() && known->second->run > origin.run) {
                continue;
            }
            const auto theirVersion = isSameRun ? known->second->version : 0;
            if (!isSameRun || theirVersion < origin.version) {
                delta.origins.push_back(
                    {daemon, origin.run, origin.heartbeat, theirVersion, origin.version, factsAfter(origin, theirVersion)});
            }
        }
    }
    std::map<std::string, const register_digest *> theirRegisters;
    for (const auto &entry : digest.registers) {
        theirRegisters.emplace(entry.name, &entry);
    }
    for (const auto &[name, value] : state.registers) {
        const auto known = theirRegisters.find(name);
        const bool isKnown
            = known != theirRegisters.end() && std::tie(known->second->major, known->second->minor) >= std::tie(value.major, value.minor);
        if (isInScope(name, scope) && !isKnown) {
            delta.registers.push_back(value);
        }
    }
    return delta;
}

bool isBehind(const exchange_state &state, const exchange_digest &digest)
{
    const auto isOriginNewer = [&](const origin_digest &entry) {
        const auto known = state.origins.find(entry.daemon);
        return known == state.origins.end() || std::tie(entry.run, entry.version) > std::tie(known->second.run, known->second.version);
    };
    const auto isRegisterNewer = [&](const register_digest &entry) {
        const auto known = state.registers.find(entry.name);
        return known == state.registers.end() || std::tie(entry.major, entry.minor) > std::tie(known->second.major, known->second.minor);
    };
    return std::any_of(digest.origins.begin(), digest.origins.end(), isOriginNewer)
        || std::any_of(digest.registers.begin(), digest.registers.end(), isRegisterNewer);
}

peer_liveness livenessOf(const exchange_state &state, const daemon_id &daemon, instant now)
{
    if (daemon == state.self) {
        return peer_liveness::alive;
    }
    const auto known = state.origins.find(daemon);
    if (known == state.origins.end() || !known->second.heartbeatAdvancedAt) {
        return peer_liveness::unproven;
    }
    const auto silence = now - *known->second.heartbeatAdvancedAt;
    if (silence > state.limits.deadAfter) {
        return peer_liveness::dead;
    }
    return silence > state.limits.suspectAfter ? peer_liveness::suspect : peer_liveness::alive;
}

std::string factOf(const exchange_state &state, const daemon_id &daemon, const std::string &name)
{
    const auto origin = state.origins.find(daemon);
    if (origin == state.origins.end()) {
        return {};
    }
    const auto fact = origin->second.facts.find(name);
    return fact == origin->second.facts.end() ? std::string() : fact->second.value;
}

const shared_register *findRegister(const exchange_state &state, const std::string &name)
{
    const auto known = state.registers.find(name);
    return known == state.registers.end() ? nullptr : &known->second;
}

std::vector<daemon_id> liveMembers(const exchange_state &state, instant now)
{
    std::vector<daemon_id> members;
    for (const auto &[daemon, origin] : state.origins) {
        const auto liveness = livenessOf(state, daemon, now);
        if (liveness == peer_liveness::alive || liveness == peer_liveness::suspect) {
            members.push_back(daemon);
        }
    }
    return members;
}

} // namespace vetchpost
