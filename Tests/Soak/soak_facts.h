// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"

#include <optional>
#include <string>
#include <vector>

namespace vetchpost::test {

/// The kind of a request, which decides how a client may recover from a lost answer.
enum class request_kind {
    /// A stream that another replica can resume.
    stream,
    idempotent,
    non_idempotent,
    /// A request for a route that exists in only one version of the configuration.
    probe
};

/// How a client's attempt ended.
enum class attempt_end {
    /// The complete answer of a replica.
    answered,
    /// A 408, 421, 429 or 503, which asserts that the request has not run and never will.
    refused,
    /// Any other status.
    failed,
    /// The connection ended or stalled before the answer was complete.
    broken,
    /// There was no usable connection, or the request could not be sent on it.
    not_sent,
    /// The client closed the connection before the end of the answer.
    abandoned
};

/// One client attempt, as the client saw it.
struct attempt_fact
{
    request_id id;
    request_kind kind = request_kind::idempotent;
    std::string service;
    std::string key;
    /// Empty if the request names no model.
    std::string model;
    int daemon = 0;
    /// The number of restarts of the daemon before the attempt.
    int incarnation = 0;
    /// For a probe, the version of the configuration that has its route.
    std::uint64_t version = 0;
    instant sentAt;
    instant endedAt;
    /// The client's deadline or the route's timeout, whichever comes first, less a margin for daemons that give up early.
    instant deadline = instant::max();
    attempt_end end = attempt_end::not_sent;
    int status = 0;
    /// The client left before the end of the request's body.
    bool isSentInPart = false;
    /// What is wrong with the content of the answer; empty if nothing is.
    std::string flaw;
};

/// An event that a stand-in of the platform recorded.
struct platform_event
{
    instant at;
    std::string what;
    request_id attempt;
    instance_id replica;
    /// For a join: the head of the replica's earlier group was open.
    bool isWhileOpen = false;
    /// For a run: the group lacks members.
    bool isPartial = false;
    /// For a rate limit, requests per second; for a backoff, seconds.
    double value = 0;
    /// For an arrival, the data centre of the replica.
    std::string zone;
};

/// What a disturbance affects.
enum class disturbance_kind {
    /// A daemon's process is killed or frozen.
    process,
    /// A daemon's process is stopped as planned or reloads its settings. It must lose no request.
    planned,
    /// A daemon's process does not run, and clients' connections to it fail.
    absence,
    /// The connections between clients and a daemon.
    callers,
    /// The store, or a daemon's link to it.
    store,
    /// Replicas, whose answers may be missing.
    replicas,
    /// Replicas send nothing for a while and then go on, so that no answer may be missing.
    silence
};

/// A time during which a fault may have an effect.
struct disturbance
{
    disturbance_kind kind = disturbance_kind::process;
    instant from;
    instant until;
    /// The affected daemon, or nothing if the disturbance may affect any of them.
    std::optional<int> daemon;
};

/// A configuration that the store has accepted.
struct accepted_configuration
{
    std::uint64_t version = 0;
    instant acceptedAt;
    /// The key that this version removed; empty if it removed none.
    std::string withdrawnKey;
};

/// An evacuation of a data centre.
struct evacuation_fact
{
    std::string zone;
    /// When the store had accepted the key.
    instant writtenAt;
    /// When the removal of the key was requested.
    instant removedAt = instant::max();
};

/// A planned stop of a daemon.
struct daemon_stop
{
    int daemon = 0;
    instant askedAt;
    std::optional<instant> endedAt;
    /// Whether the daemon was killed or frozen during the stop.
    bool isDisturbed = false;
};

/// An unexpected end of a daemon's process.
struct daemon_crash
{
    int daemon = 0;
    instant at;
};

/// The resource use of a daemon's process at one moment.
struct resource_sample
{
    instant at;
    int daemon = 0;
    long memoryKilobytes = 0;
    long descriptors = 0;
    long threads = 0;
};

/// All that clients, replicas and the run itself recorded; the input of the checks.
struct soak_facts
{
    std::vector<attempt_fact> attempts;
    std::vector<platform_event> events;
    std::vector<disturbance> disturbances;
    std::vector<accepted_configuration> configurations;
    std::vector<evacuation_fact> evacuations;
    std::vector<daemon_stop> stops;
    std::vector<daemon_crash> crashes;
    std::vector<resource_sample> samples;
    instant faultsEndedAt;
    /// When all daemons were first found ready and had answered requests for each model after the faults; nothing if that did not happen.
    std::optional<instant> recoveredAt;
    instant endedAt;
};

/// A violation of one of the daemons' promises.
struct broken_promise
{
    std::string promise;
    std::string details;
    /// The attempt that shows the violation; empty if no single one does.
    request_id attempt;
};

} // namespace vetchpost::test
