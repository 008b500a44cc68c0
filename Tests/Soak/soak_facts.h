// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost::test {

/// What may be done with a request whose answer did not come.
enum class request_kind {
    /// A stream that another replica may go on with.
    stream,
    idempotent,
    non_idempotent,
    /// Asks a daemon for a route that only one version of the configuration has.
    probe
};

enum class attempt_end {
    /// The whole answer of a replica.
    answered,
    /// A 408, 421, 429 or 503: it says that the request has not run and never will.
    refused,
    /// Any other status.
    failed,
    /// The connection ended or fell silent before the answer was whole.
    broken,
    /// The connection was not there, or the request could not be sent on it.
    not_sent,
    /// The client closed the connection before the end.
    left
};

/// One client attempt, as the client saw it.
struct attempt_fact
{
    request_id id;
    request_kind kind = request_kind::idempotent;
    std::string service;
    std::string key;
    /// Empty where the service has no models.
    std::string model;
    int daemon = 0;
    /// The starts of the daemon before that moment.
    int incarnation = 0;
    /// Of a probe: the version of the configuration that has its route.
    std::uint64_t version = 0;
    instant sentAt;
    instant endedAt;
    /// The client's deadline or the route's timeout, whichever comes first.
    instant deadline = instant::max();
    attempt_end end = attempt_end::not_sent;
    int status = 0;
    /// What is wrong with the content of a whole answer; empty where nothing is.
    std::string flaw;
};

/// What a stand-in of the platform saw.
struct platform_event
{
    instant at;
    std::string what;
    request_id attempt;
    instance_id replica;
    /// Of a join: the head of the replica's earlier group was open.
    bool isWhileOpen = false;
    /// Of a run: the group lacks members.
    bool isPartial = false;
    /// Of a limit and of what an answer told: requests a second, seconds of rest.
    double value = 0;
};

enum class disturbance_kind {
    /// A daemon's process is killed or frozen.
    process,
    /// A daemon's process is stopped as planned or told to read its settings; it has to lose nothing.
    planned,
    /// A daemon's process is not there, and its clients learn that.
    absence,
    /// The connections between clients and a daemon.
    callers,
    /// The store, or a daemon's way to it.
    store,
    /// Replicas, whose answers may be missing.
    replicas
};

/// From the begin of a fault to the end of its effect.
struct disturbance
{
    disturbance_kind kind = disturbance_kind::process;
    instant from;
    instant until;
    /// Nothing where it may strike any of them.
    std::optional<int> daemon;
};

/// A configuration that the store has taken.
struct accepted_configuration
{
    std::uint64_t version = 0;
    instant acceptedAt;
    /// The key that it took away; empty for none.
    std::string withdrawnKey;
};

/// A planned stop of a daemon.
struct daemon_stop
{
    int daemon = 0;
    instant askedAt;
    std::optional<instant> endedAt;
    /// Whether it was killed or frozen meanwhile.
    bool isDisturbed = false;
};

/// A daemon's process that ended though nobody ended it.
struct daemon_crash
{
    int daemon = 0;
    instant at;
};

/// What a daemon's process used at one moment.
struct resource_sample
{
    instant at;
    int daemon = 0;
    long memoryKilobytes = 0;
    long descriptors = 0;
    long threads = 0;
};

struct soak_facts
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events;
    std::vector<disturbance> disturbances;
    std::vector<accepted_configuration> configurations;
    std::vector<daemon_stop> stops;
    std::vector<daemon_crash> crashes;
    std::vector<resource_sample> samples;
    instant faultsEndedAt;
    /// When all daemons were ready and had answered for each model after the faults; nothing where that was not seen.
    std::optional<instant> recoveredAt;
    instant endedAt;
};

/// A promise that was not kept.
struct broken_promise
{
    std::string promise;
    std::string details;
    /// Empty where no single request shows it.
    request_id attempt;
};

} // namespace vetchpost::test
