// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/operator_interface.h"

#include "Libraries/Base/digest.h"
#include "Libraries/Base/json.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace vetchpost {

namespace {

constexpr std::size_t maxBodySize = 1U << 20U;
constexpr duration bodyTimeout(10000);
constexpr duration forwardTimeout(2000);
constexpr auto decisionsMethod = "decisions";
constexpr std::array<std::string_view, 4> livenessNames = {"unproven", "alive", "suspect", "dead"};

std::string entityTag(revision value)
{
    return fmt::format("\"{}\"", value.value());
}

/// Parses the revision in an If-Match header. Returns nothing if the header is malformed.
std::optional<revision> revisionFrom(const std::string &tag)
{
    std::uint64_t value = 0;
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    const auto [rest, error] = std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, value);
    const bool isWhole = error == std::errc() && rest == tag.data() + tag.size() - 1;
    return isWhole ? std::optional(revision(value)) : std::nullopt;
}

Json::Value toJson(const accepted_edit &edit)
{
    Json::Value json;
    json["edit"] = edit.edit.value();
    json["revision"] = Json::UInt64(edit.accepted.value());
    json["author"] = edit.author;
    json["at_ms"] = Json::Int64(edit.atMilliseconds);
    return json;
}

Json::Value toJson(const member_status &member, const daemon_id &self)
{
    Json::Value json;
    json["daemon"] = member.daemon.value();
    json["data_centre"] = member.description.dataCentre.value();
    json["liveness"] = std::string(livenessNames.at(static_cast<std::size_t>(member.liveness)));
    json["in_force"] = Json::UInt64(member.description.inForce.value());
    json["coordinates"] = member.description.isCoordinator;
    json["stopping"] = member.description.isStopping;
    json["operators"] = member.description.operators.text();
    json["asked"] = member.daemon == self;
    return json;
}

Json::Value toJson(const group_status &status)
{
    Json::Value json;
    json["group"] = status.group.id.value();
    json["deployment"] = status.group.deployment.value();
    json["generation"] = Json::UInt64(status.group.current.value());
    json["standing"] = std::string(groupStateName(status.state));
    json["standing_seconds"] = Json::Int64(std::chrono::duration_cast<std::chrono::seconds>(status.timeInState).count());
    json["domain"] = status.group.members.front().domain.value();
    json["model"] = status.group.choice.model;
    json["version"] = status.group.choice.version;
    json["members"] = Json::Value(Json::arrayValue);
    for (const auto &member : status.group.members) {
        json["members"].append(member.instance.value());
    }
    json["awaited"] = Json::Value(Json::arrayValue);
    for (const auto &awaited : status.awaited) {
        json["awaited"].append(awaited);
    }
    return json;
}

Json::Value toJson(const planning_decision &decision)
{
    Json::Value json;
    json["group"] = decision.group.value();
    json["action"] = std::string(planActionName(decision.action));
    json["why"] = decision.why;
    json["alternatives"] = Json::Value(Json::arrayValue);
    for (const auto &option : decision.alternatives) {
        Json::Value entry;
        entry["action"] = std::string(planActionName(option.action));
        entry["expected_seconds"] = Json::Int64(std::chrono::duration_cast<std::chrono::seconds>(option.expectedTime).count());
        entry["cost"] = option.cost;
        json["alternatives"].append(entry);
    }
    return json;
}

} // namespace

struct operator_interface::private_data
{
    gateway_context &context;
    configuration_service &configurations;
    coordinator_runner &coordinator;

    void refuse(http_exchange &exchange, const reason &why)
    {
        context.counters.countRefusal(why.kind);
        exchange.sendError(why);
    }

    void sendJson(http_exchange &exchange, const Json::Value &json)
    {
        exchange.send(200, "application/json", toJsonText(json));
    }

    void showConfiguration(http_exchange &exchange)
    {
        const auto head = context.cluster.head();
        exchange.setHeader("ETag", entityTag(head ? head->current : revision()));
        exchange.send(200, "application/yaml", head ? head->text : std::string());
    }

    void showHistory(http_exchange &exchange)
    {
        Json::Value json(Json::arrayValue);
        if (const auto head = context.cluster.head()) {
            for (const auto &edit : head->history) {
                json.append(toJson(edit));
            }
        }
        sendJson(exchange, json);
    }

    void putConfiguration(http_exchange &exchange)
    {
        const auto base = revisionFrom(exchange.header("If-Match"));
        if (!base) {
            refuse(exchange, {error_kind::precondition_required, "the header If-Match must hold the base revision of the edit"});
            return;
        }
        proposed_edit edit;
        edit.edit = edit_id(exchange.header("X-Edit-Id"));
        if (edit.edit.isEmpty()) {
            refuse(exchange,
                   {error_kind::malformed_request,
                    "the header X-Edit-Id must identify the edit, so that a retry after a lost reply is recognised"});
            return;
        }
        reason why;
        auto text = exchange.readBody(maxBodySize, bodyTimeout, why);
        if (!text) {
            refuse(exchange, why);
            return;
        }
        edit.base = *base;
        edit.author = exchange.header("X-Author");
        edit.text = std::move(*text);
        edit.atMilliseconds = calendarMilliseconds();
        sendEditResult(exchange, configurations.accept(edit));
    }

    void sendEditResult(http_exchange &exchange, const edit_result &result)
    {
        if (result.isAccepted) {
            Json::Value json;
            json["accepted"] = Json::UInt64(result.accepted.value());
            exchange.setHeader("ETag", entityTag(result.accepted));
            sendJson(exchange, json);
            return;
        }
        context.counters.countRefusal(result.why.kind);
        const auto &answer = errorAnswer(result.why.kind);
        Json::Value json;
        json["error"]["kind"] = std::string(answer.name);
        json["error"]["message"] = result.why.text;
        for (const auto &problem : result.problems) {
            json["problems"].append(problem.text());
        }
        for (const auto &edit : result.conflictingEdits) {
            json["other_edits"].append(toJson(edit));
        }
        exchange.send(answer.httpStatus, "application/json", toJsonText(json));
    }

    void showStatus(http_exchange &exchange)
    {
        Json::Value json;
        json["daemon"] = context.settings.daemon.value();
        const auto head = context.cluster.head();
        json["in_force"] = Json::UInt64(head ? head->current.value() : 0);
        json["members"] = Json::Value(Json::arrayValue);
        for (const auto &member : context.cluster.members(monotonicNow())) {
            json["members"].append(toJson(member, context.settings.daemon));
        }
        json["queues"] = Json::Value(Json::arrayValue);
        for (const auto &queue : context.admissions.queues()) {
            Json::Value entry;
            entry["deployment"] = queue.deployment.value();
            entry["waiting"] = Json::UInt64(queue.waiting);
            entry["tokens_per_second"] = queue.drainRate;
            json["queues"].append(entry);
        }
        addShortages(json);
        sendJson(exchange, json);
    }

    /// Adds the deployments that have fewer serving replicas here than this data centre's share.
    void addShortages(Json::Value &json)
    {
        json["shortages"] = Json::Value(Json::arrayValue);
        const auto groups = context.cluster.groups(monotonicNow());
        const auto wants = context.cluster.wants(monotonicNow());
        for (const auto &want : wants.value_or(std::vector<deployment_want>())) {
            int serving = 0;
            for (const auto &status : groups) {
                serving += status.group.deployment == want.wanted.id && status.state == group_state::serving ? 1 : 0;
            }
            if (want.replicas && serving < *want.replicas) {
                Json::Value entry;
                entry["deployment"] = want.wanted.id.value();
                entry["wanted_here"] = *want.replicas;
                entry["serving_here"] = serving;
                json["shortages"].append(entry);
            }
        }
    }

    void showGroups(http_exchange &exchange)
    {
        Json::Value json(Json::arrayValue);
        for (const auto &status : context.cluster.groups(monotonicNow())) {
            json.append(toJson(status));
        }
        sendJson(exchange, json);
    }

    /// This daemon's decisions about a group, or about all groups if \a group is empty.
    Json::Value ownDecisions(const std::string &group) const
    {
        Json::Value json(Json::arrayValue);
        for (const auto &decision : coordinator.decisions()) {
            if (group.empty() || decision.group.value() == group) {
                json.append(toJson(decision));
            }
        }
        return json;
    }

    /// Sends the decisions about a group. A daemon that does not coordinate fetches them from the coordinator of its data centre, and falls
    /// back to its own.
    void showDecisions(http_exchange &exchange)
    {
        const auto group = exchange.queryParameter("group");
        if (!coordinator.isCoordinating()) {
            for (const auto &member : context.cluster.members(monotonicNow())) {
                if (!member.description.isCoordinator || member.description.dataCentre != context.settings.dataCentre) {
                    continue;
                }
                Json::Value parameters;
                parameters["group"] = group;
                if (const auto reply = context.peers.call(member.description.peers, decisionsMethod, parameters, forwardTimeout)) {
                    sendJson(exchange, *reply);
                    return;
                }
            }
        }
        sendJson(exchange, ownDecisions(group));
    }

    /// Dispatches an authorised request by path and method.
    void dispatchRequest(http_exchange &exchange)
    {
        const auto &path = exchange.path();
        const auto &method = exchange.method();
        if (path == "/v1/configuration" && method == "GET") {
            showConfiguration(exchange);
        } else if (path == "/v1/configuration" && method == "PUT") {
            putConfiguration(exchange);
        } else if (path == "/v1/configuration/history" && method == "GET") {
            showHistory(exchange);
        } else if (path == "/v1/status" && method == "GET") {
            showStatus(exchange);
        } else if (path == "/v1/groups" && method == "GET") {
            showGroups(exchange);
        } else if (path == "/v1/decisions" && method == "GET") {
            showDecisions(exchange);
        } else {
            refuse(exchange, {error_kind::unknown_path, "the operators' interface has no such path and method"});
        }
    }
};

operator_interface::operator_interface(gateway_context &context, configuration_service &configurations, coordinator_runner &coordinator)
    : d(new private_data{context, configurations, coordinator})
{
    context.peers.addMethod(decisionsMethod,
                            [this](const Json::Value &parameters) { return d->ownDecisions(jsonString(parameters, "group")); });
}

operator_interface::~operator_interface() = default;

void operator_interface::handle(http_exchange &exchange)
{
    if (exchange.path() == "/metrics") {
        exchange.send(200, "text/plain; version=0.0.4", d->context.counters.text());
        return;
    }
    if (!isSameSecret(exchange.header("Authorization"), "Bearer " + d->context.settings.operatorToken)) {
        d->refuse(exchange, {error_kind::unauthorised, "the operators' interface requires the operators' token"});
        return;
    }
    d->dispatchRequest(exchange);
}

} // namespace vetchpost
