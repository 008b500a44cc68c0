// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/assembly_state.h"
#include "Libraries/Base/error_kind.h"
#include "Libraries/Http/http_message.h"
#include "Libraries/Requests/replica_notice.h"
#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/served_configuration.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// What a client's request says beside method, path and body.
struct client_request_head
{
    request_id attempt;
    /// How long the client waits; nothing where it does not say.
    std::optional<duration> patience;
    /// Empty where there is none.
    std::string key;
    model_id model;
    /// The client has received the stream up to this event; empty for a new stream.
    std::string lastEvent;
};

/// What a daemon adds to a request for a replica.
struct replica_request_head
{
    /// The one start of the one replica that may take it.
    instance_id replica;
    duration timeLeft{};
    /// Empty on routes without keys.
    organisation_id organisation;
    /// Resume after this event; empty for a new stream.
    std::string lastEvent;
    /// 0 is the most urgent.
    std::optional<int> priority;
};

/// What a replica's answer says of itself.
struct replica_answer_head
{
    request_id attempt;
    /// A replica of the service made this answer.
    bool isSigned = false;
    /// The replica says that it did not run the request.
    bool hasNotRun = false;
};

/// Called with a replica's answer to a call of the daemon's own, on any thread.
using answer_listener = std::function<void(const instance_id &, const http_reply &)>;

/// The names and formats in which an entry daemon's surroundings speak. Decides nothing.
class entry_dialect
{
public:
    entry_dialect() = default;
    virtual ~entry_dialect() = default;
    entry_dialect(const entry_dialect &) = delete;
    entry_dialect &operator=(const entry_dialect &) = delete;

    /// The key that holds the whole configuration.
    virtual std::string configurationKey() const = 0;
    /// The prefix of the replicas' entries; the rest of a key is the replica's id.
    virtual std::string replicaPrefix() const = 0;
    virtual std::optional<served_configuration> readConfiguration(const std::string &text, reason &lastReason) const = 0;
    virtual std::optional<served_replica> readReplica(const instance_id &id, const std::string &text, reason &lastReason) const = 0;

    virtual client_request_head readRequest(const std::vector<http_header> &headers) const = 0;
    /// The headers of a request for a replica: the client's, without those of one connection, and the daemon's own.
    virtual std::vector<http_header> replicaHeaders(const std::vector<http_header> &clientHeaders,
                                                    const replica_request_head &head) const = 0;
    virtual replica_answer_head readAnswer(int status, const std::vector<http_header> &headers) const = 0;
    /// What an answer of any kind says of the work that the replica can take.
    virtual replica_notice readNotice(int status, const std::vector<http_header> &headers) const = 0;
    /// The headers of a replica's answer that go on to the client.
    virtual std::vector<http_header> clientHeaders(const std::vector<http_header> &replicaHeaders) const = 0;
    /// The headers that an answer of the daemon's own carries.
    virtual std::vector<http_header> ownHeaders(const client_request_head &head) const = 0;

    virtual http_call orderCall(const replica_order &order) const = 0;
    virtual order_answer readOrderAnswer(const replica_order &order, const http_reply &reply) const = 0;
    /// A call to which a live replica answers at once, and another one at its address that it is not meant.
    virtual http_call livenessCall(const instance_id &replica, const endpoint &address) const = 0;
    virtual bool isLivenessAnswer(const http_reply &reply) const = 0;
};

} // namespace vetchpost
