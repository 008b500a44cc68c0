// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Daemon/admission.h"
#include "Libraries/Daemon/claim_service.h"
#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Daemon/peer_service.h"

namespace vetchpost {

/// Metrics of requests and their attempts.
struct request_counters
{
    explicit request_counters(metrics &counters);

    counter accepted;
    counter completed;
    counter tokens;
    counter retries;
    counter resumes;
    counter continuations;
    counter foreignChunks;
    histogram firstToken;
    histogram tokenGap;
};

/// Counts the outcome of one request: "completed" or the name of an error kind.
void countOutcome(metrics &counters, const organisation_id &organisation, const deployment_id &deployment, const std::string &outcome);

/// Settings, services and metrics that the caller interface and the gateways share.
struct gateway_context
{
    const daemon_settings &settings;
    cluster_state &cluster;
    replica_backoffs &backoffs;
    admission &admissions;
    claim_service &claims;
    peer_service &peers;
    metrics &counters;
    request_counters requests;
};

} // namespace vetchpost
