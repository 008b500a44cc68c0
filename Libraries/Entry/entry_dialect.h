// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Http/http_message.h"
#include "Libraries/Requests/prompt_parts.h"
#include "Libraries/Requests/replica_notice.h"
#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/served_configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// What the contracts that a platform keeps allow the daemons to do.
struct platform_features
{
    /// Requests may be placed by dispatchers.
    bool hasSlotDispatch = false;
    /// Contracts with names that are not known.
    std::vector<std::string> unknown;
};

/// The size of a request as its client states it, in tokens. Values outside the possible range have been clamped.
struct token_counts
{
    /// Tokens of the prompt; nothing if not stated.
    std::optional<int> prompt;
    /// The largest number of tokens that the answer may have; nothing if not stated.
    std::optional<int> maximumAnswer;
    /// The client's guess of the number of tokens of the answer; nothing if not stated.
    std::optional<int> expectedAnswer;
    /// Whether a stated value was not a number, or was clamped.
    bool isInvalid = false;
};

/// The header fields of a client's request that the daemon interprets.
struct client_request_head
{
    request_id requestId;
    /// How long the client waits for its answer; empty if the request does not state it.
    std::optional<duration> patience;
    /// The API key; empty if the request has none.
    std::string key;
    model_id model;
    /// The id of the last event that the client has received of a stream to be resumed; empty for a new stream.
    std::string lastEvent;
    token_counts tokens = {};
    prompt_parts parts = {};
};

/// What a daemon adds to the header of a request that it sends to a replica.
struct replica_request_head
{
    /// The only replica that may accept the request.
    instance_id replica;
    duration timeLeft{};
    /// Empty on routes without keys.
    organisation_id organisation;
    /// The id of the event after which the stream resumes; empty for a new stream.
    std::string lastEvent;
    /// 0 is the highest priority; empty if none is sent.
    std::optional<int> priority;
};

/// The header fields of a replica's answer that the daemon interprets.
struct replica_answer_head
{
    request_id requestId;
    /// The answer carries the stamp that only a replica of the service adds.
    bool hasServerStamp = false;
    /// The replica reports that it did not run the request.
    bool hasNotRun = false;
};

/// Called on any thread with a replica's answer to a request that the daemon sent on its own behalf.
using answer_listener = std::function<void(const instance_id &, const http_reply &)>;

/// Translates between the types of the entry daemon and the names and formats of the platform: headers, stored entries and orders. Makes no
/// decisions.
class entry_dialect
{
public:
    entry_dialect() = default;
    virtual ~entry_dialect() = default;
    entry_dialect(const entry_dialect &) = delete;
    entry_dialect &operator=(const entry_dialect &) = delete;

    /// The key under which the whole configuration is stored.
    virtual std::string configurationKey() const = 0;
    /// The key prefix of the replicas' entries; the rest of a key is the replica's id.
    virtual std::string replicaPrefix() const = 0;
    /// The key prefix of the evacuations; the rest of a key is the name of the evacuated data centre.
    virtual std::string evacuationPrefix() const = 0;
    virtual std::optional<served_configuration> readConfiguration(const std::string &text, reason &lastReason) const = 0;
    virtual std::optional<served_replica> readReplica(const instance_id &id, const std::string &text, reason &lastReason) const = 0;

    /// Translates the platform's names of contracts.
    virtual platform_features featuresOf(const std::vector<std::string> &contracts) const = 0;

    virtual client_request_head readRequest(const std::vector<http_header> &headers) const = 0;
    /// The headers of a request to a replica: the client's headers without the hop-by-hop ones, and those that the daemon adds.
    virtual std::vector<http_header> replicaHeaders(const std::vector<http_header> &clientHeaders,
                                                    const replica_request_head &head) const = 0;
    virtual replica_answer_head readAnswer(int status, const std::vector<http_header> &headers) const = 0;
    /// The rate limit, backoff and departure that an answer of any status announces for its replica.
    virtual replica_notice readNotice(int status, const std::vector<http_header> &headers) const = 0;
    /// The remaining cold time that an answer of any status announces for its replica.
    virtual cold_notice readColdNotice(int status, const std::vector<http_header> &headers) const = 0;
    /// The headers of a replica's answer that are relayed to the client.
    virtual std::vector<http_header> clientHeaders(const std::vector<http_header> &replicaHeaders) const = 0;
    /// The headers of an answer that the daemon generates itself.
    virtual std::vector<http_header> daemonHeaders(const client_request_head &head) const = 0;

    virtual http_call orderCall(const replica_order &order) const = 0;
    virtual order_answer readOrderAnswer(const replica_order &order, const http_reply &reply) const = 0;
    /// A liveness probe. A live replica answers it at once; a different replica at the same address answers that the probe is not for it.
    virtual http_call livenessCall(const instance_id &replica, const endpoint &address) const = 0;
    virtual bool isLivenessAnswer(const http_reply &reply) const = 0;
};

} // namespace vetchpost
