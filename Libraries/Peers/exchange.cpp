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

/// Takes in a heartbeat. Only a rise of a heartbeat that was already known proves that the daemon runs now: a first one may
/// be the echo of a daemon that died long ago.
void takeHeartbeat(peer_origin &origin, std::uint64_t heartbeat, instant now)
{
    if (heartbeat <= origin.heartbeat) {
        return;
    }
    origin.heartbeat = heartbeat;
    origin.advanced = now;
}

/// The origin of this daemon in this incarnation; nothing where a newer incarnation is already known.
peer_origin *originFor(exchange_state &state, const daemon_id &daemon, incarnation run, std::uint64_t heartbeat, instant now)
{
    const auto found = state.origins.find(daemon);
    if (found == state.origins.end()) {
        peer_origin fresh;
        fresh.run = run;
        fresh.heartbeat = heartbeat;
        fresh.heard = now;
        return &state.origins.emplace(daemon, std::move(fresh)).first->second;
    }
    auto &known = found->second;
    if (run < known.run) {
        return nullptr;
    }
    if (run > known.run) {
        // The daemon was started anew: nothing of what its old self said holds any more.
        known = peer_origin();
        known.run = run;
        known.heartbeat = heartbeat;
        known.heard = now;
        known.advanced = now;
    }
    return &known;
}

/// Somebody told of an old self of this daemon that stands above the present one, because its clock ran ahead or because both
/// began in the same moment. Going above it lets the present self be heard. The low part of the number stays: another old self
/// may have gone above the same one before.
void outrank(exchange_state &state, incarnation toldRun, std::uint64_t toldHeartbeat)
{
    auto &own = state.origins.at(state.self);
    if (std::tie(toldRun, toldHeartbeat) > std::tie(own.run, own.heartbeat)) {
        own.run = makeIncarnation(toldRun.value() / incarnationStride + 1, own.run.value());
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

void beat(exchange_state &state, instant now)
{
    if (state.lastTick && now - *state.lastTick > state.limits.pause) {
        // This process stood still, so the silence of the others proves nothing: the pause is not counted against them.
        const auto gap = now - *state.lastTick;
        for (auto &[daemon, origin] : state.origins) {
            if (origin.advanced) {
                *origin.advanced += gap;
            }
        }
    }
    state.lastTick = now;
    auto &own = state.origins.at(state.self);
    ++own.heartbeat;
    own.advanced = now;
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
            outrank(state, entry.run, entry.heartbeat);
        } else if (const auto known = state.origins.find(entry.daemon); known != state.origins.end() && known->second.run == entry.run) {
            takeHeartbeat(known->second, entry.heartbeat, now);
        }
    }
}

exchange_changes applyDelta(exchange_state &state, const exchange_delta &delta, instant now)
{
    exchange_changes changes;
    for (const auto &told : delta.origins) {
        if (told.daemon == state.self) {
            outrank(state, told.run, told.heartbeat);
            continue;
        }
        auto *origin = originFor(state, told.daemon, told.run, told.heartbeat, now);
        if (origin == nullptr) {
            continue;
        }
        takeHeartbeat(*origin, told.heartbeat, now);
        if (told.since > origin->version) {
            // Facts between the two are missing: taking the version over would hide them for ever.
            continue;
        }
        for (const auto &fact : told.facts) {
            auto &known = origin->facts[fact.name];
            if (fact.version > known.version) {
                known = fact;
                changes.haveFactsChanged = true;
            }
        }
        origin->version = std::max(origin->version, told.version);
    }
    for (const auto &value : delta.registers) {
        if (setRegister(state, value)) {
            changes.registers.push_back(value.name);
        }
    }
    return changes;
}

void forgetDead(exchange_state &state, instant now)
{
    std::erase_if(state.origins, [&](const auto &entry) {
        const auto &[daemon, origin] = entry;
        return daemon != state.self && now - origin.advanced.value_or(origin.heard) > state.limits.forgetAfter;
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
    std::map<daemon_id, const origin_digest *> theirs;
    for (const auto &entry : digest.origins) {
        theirs.emplace(entry.daemon, &entry);
    }
    if (scope == exchange_scope::data_centre) {
        for (const auto &[daemon, origin] : state.origins) {
            const auto known = theirs.find(daemon);
            const bool isSameRun = known != theirs.end() && known->second->run == origin.run;
            if (known != theirs.end() && known->second->run > origin.run) {
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
    if (known == state.origins.end() || !known->second.advanced) {
        return peer_liveness::unproven;
    }
    const auto silence = now - *known->second.advanced;
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
