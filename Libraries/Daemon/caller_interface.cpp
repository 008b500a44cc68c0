// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/caller_interface.h"

#include "Libraries/Daemon/model_gateway.h"
#include "Libraries/Daemon/organisation_limits.h"

#include <fmt/format.h>

#include <charconv>
#include <functional>
#include <thread>

namespace vetchpost {

namespace {

constexpr auto chatPath = "/v1/chat/completions";
constexpr auto modelsPath = "/v1/models";
constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr duration bodyTimeout(10000);
constexpr std::size_t maxKeyLength = 255;
/// Time after the start at which a daemon serves the groups that it knows, even if it has not received the state of all groups.
constexpr duration maxLearningTime(15000);
/// How long a request to a daemon that has just started waits for missing state; the peers send it within a second or two.
constexpr duration maxStartupWait(3000);
constexpr duration startupPollPeriod(10);

/// Parses a whole number; returns nothing if the text is not one.
std::optional<std::int64_t> wholeNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && rest == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

} // namespace

struct caller_interface::private_data
{
    gateway_context &context;
    service_gateway services;
    organisation_limits limits;
    incarnation run;
    std::atomic<std::uint64_t> lastRequest = 0;
    instant started = monotonicNow();
    std::atomic<bool> isReady = true;
    std::atomic<bool> isRefusing = false;

    private_data(gateway_context &shared, incarnation runOfDaemon)
        : context(shared)
        , services(shared)
        , limits(shared.cluster)
        , run(runOfDaemon)
    {
    }

    void refuse(http_exchange &exchange, const reason &why, const request_id &id = {})
    {
        context.counters.countRefusal(why.kind);
        exchange.sendError(why, id.value());
    }

    std::shared_ptr<const configuration> wanted() const
    {
        return context.cluster.routing().read([](const routing_snapshot &snapshot) { return snapshot.wanted; });
    }

    bool hasAllRoutes() const
    {
        return context.cluster.routing().read([](const routing_snapshot &snapshot) { return snapshot.hasReceivedGroups; });
    }

    /// Returns whether a route of the deployment is known, or the routes are complete.
    bool hasRoutesOrIsComplete(const deployment_id &target) const
    {
        return context.cluster.routing().read([&](const routing_snapshot &snapshot) {
            if (snapshot.hasReceivedGroups) {
                return true;
            }
            const auto *routes = snapshot.find(target);
            return routes != nullptr && !(routes->replicas.empty() && routes->services.empty());
        });
    }

    /// Polls until isKnown returns true, \a until has passed or the startup time of this daemon is over.
    void waitDuringStartup(instant until, const std::function<bool()> &isKnown) const
    {
        const auto end = std::min(until, started + maxLearningTime);
        while (!isKnown() && monotonicNow() < end) {
            std::this_thread::sleep_for(startupPollPeriod);
        }
    }

    /// Waits during startup for routes of the request's deployment. Without the wait the caller would get no_serving_group and a
    /// retry-after time of seconds, although the daemon's peers know replicas.
    void waitForReplicas(const caller_request &request) const
    {
        waitDuringStartup(std::min(request.received + maxStartupWait, request.deadline),
                          [&] { return hasRoutesOrIsComplete(request.target.id); });
    }

    void answerReady(http_exchange &exchange)
    {
        if (!isReady) {
            exchange.sendError({error_kind::stopping, "this daemon is stopping"});
        } else if (!wanted()) {
            exchange.sendError({error_kind::no_configuration, "this daemon has no configuration yet"});
        } else if (!hasAllRoutes() && monotonicNow() - started < maxLearningTime) {
            exchange.sendError({error_kind::no_serving_group, "this daemon has not received the state of all groups yet"});
        } else {
            exchange.send(200, "text/plain", "ready\n");
        }
    }

    /// Returns the organisation to which the request's bearer key belongs, or null if there is none.
    const organisation *authorise(const http_exchange &exchange, const configuration &wanted) const
    {
        const auto header = exchange.header("Authorization");
        if (!header.starts_with(bearerPrefix)) {
            return nullptr;
        }
        return wanted.organisationOfKey(keyDigest(header.substr(bearerPrefix.size())));
    }

    /// Sends the list of the models that the organisation may use.
    void listModels(http_exchange &exchange, const configuration &wanted, const organisation &caller)
    {
        Json::Value json;
        json["object"] = "list";
        json["data"] = Json::Value(Json::arrayValue);
        for (const auto &deployment : wanted.deployments) {
            if (deployment.kind == deployment_kind::model && mayUse(deployment, caller.id)) {
                Json::Value model;
                model["id"] = deployment.id.value();
                model["object"] = "model";
                model["owned_by"] = caller.id.value();
                json["data"].append(model);
            }
        }
        exchange.send(200, "application/json", toJsonText(json));
    }

    /// Reads the body, deadline and idempotency key of a request. Returns nothing if one of them is invalid.
    std::optional<caller_request> readRequest(http_exchange &exchange, const organisation &caller, reason &why)
    {
        caller_request request;
        request.id = request_id(fmt::format("{}-{:x}-{}", context.settings.daemon.value(), run.value(), ++lastRequest));
        request.callerOrganisation = caller;
        request.received = monotonicNow();
        auto body = exchange.readBody(context.settings.maximumBodyBytes, bodyTimeout, why);
        if (!body) {
            return std::nullopt;
        }
        request.body = std::move(*body);
        request.deadline = request.received + context.settings.defaultDeadline;
        if (const auto text = exchange.header("X-Deadline-Ms"); !text.empty()) {
            const auto given = wholeNumber(text);
            if (!given || *given <= 0) {
                why = {error_kind::malformed_request, "X-Deadline-Ms must be a whole number of milliseconds above 0"};
                return std::nullopt;
            }
            request.deadline = std::min(request.deadline, request.received + duration(*given));
        }
        request.key = exchange.header("Idempotency-Key");
        if (request.key.size() > maxKeyLength) {
            why = {error_kind::malformed_request, "Idempotency-Key may have at most 255 characters"};
            return std::nullopt;
        }
        const bool isMarkedUnrepeatable = exchange.header("X-Repeatable") == "no";
        request.isRepeatable = request.key.empty() && !isMarkedUnrepeatable;
        return request;
    }

    /// Returns the deployment of this name and kind, or null if the organisation may not use it: the answer is the same as for a name that
    /// does not exist, so that callers cannot discover deployments of others.
    static const deployment *
    findAccessible(const configuration &wanted, const organisation &caller, const std::string &name, deployment_kind kind)
    {
        const auto *found = wanted.findDeployment(deployment_id(name));
        return found != nullptr && found->kind == kind && mayUse(*found, caller.id) ? found : nullptr;
    }

    void answerChat(http_exchange &exchange, const configuration &wanted, const organisation &caller)
    {
        reason why;
        auto request = readRequest(exchange, caller, why);
        if (!request) {
            refuse(exchange, why);
            return;
        }
        exchange.setHeader("X-Request-Id", request->id.value());
        const auto body = parseJson(request->body);
        if (!body || !body->isObject() || !(*body)["messages"].isArray()) {
            refuse(exchange, {error_kind::malformed_request, "the body must be a JSON object with a list of messages"}, request->id);
            return;
        }
        const auto *target = findAccessible(wanted, caller, jsonString(*body, "model"), deployment_kind::model);
        if (target == nullptr) {
            refuse(exchange, {error_kind::unknown_model, "there is no such model"}, request->id);
            return;
        }
        request->target = *target;
        if (!limits.consume(caller, static_cast<double>(request->body.size()) / 4 + static_cast<double>(jsonNumber(*body, "max_tokens")))) {
            refuse(exchange, {error_kind::organisation_limit, "the organisation has reached its limit of tokens per second"}, request->id);
            return;
        }
        waitForReplicas(*request);
        answerModelRequest(context, exchange, *request, *body);
    }

    void answerService(http_exchange &exchange, const configuration &wanted, const organisation &caller)
    {
        const auto rest = exchange.path().substr(servicesPrefix.size());
        const auto slash = rest.find('/');
        const auto *target = findAccessible(wanted, caller, rest.substr(0, slash), deployment_kind::service);
        if (target == nullptr) {
            refuse(exchange, {error_kind::unknown_model, "there is no such service"});
            return;
        }
        reason why;
        auto request = readRequest(exchange, caller, why);
        if (!request) {
            refuse(exchange, why);
            return;
        }
        exchange.setHeader("X-Request-Id", request->id.value());
        request->target = *target;
        request->isRepeatable = request->isRepeatable && isRepeatable(*target, exchange.method());
        const auto path = slash == std::string::npos ? std::string("/") : rest.substr(slash);
        waitForReplicas(*request);
        services.answer(exchange, *request, exchange.query().empty() ? path : path + "?" + exchange.query());
    }
};

caller_interface::caller_interface(gateway_context &context, incarnation run)
    : d(std::make_unique<private_data>(context, run))
{
}

caller_interface::~caller_interface() = default;

void caller_interface::handle(http_exchange &exchange)
{
    if (exchange.path() == "/healthz") {
        exchange.send(200, "text/plain", "alive\n");
        return;
    }
    if (exchange.path() == "/readyz") {
        d->answerReady(exchange);
        return;
    }
    if (d->isRefusing) {
        d->refuse(exchange, {error_kind::stopping, "this daemon is stopping"});
        return;
    }
    std::shared_ptr<const configuration> wanted;
    d->waitDuringStartup(monotonicNow() + maxStartupWait, [&] {
        wanted = d->wanted();
        return wanted != nullptr;
    });
    if (!wanted) {
        d->refuse(exchange, {error_kind::no_configuration, "this daemon has no configuration yet"});
        return;
    }
    const auto *caller = d->authorise(exchange, *wanted);
    if (caller == nullptr) {
        d->refuse(exchange, {error_kind::unauthorised, "a valid bearer key is required"});
        return;
    }
    if (exchange.path() == modelsPath && exchange.method() == "GET") {
        d->listModels(exchange, *wanted, *caller);
    } else if (exchange.path() == chatPath && exchange.method() == "POST") {
        d->answerChat(exchange, *wanted, *caller);
    } else if (exchange.path().starts_with(servicesPrefix)) {
        d->answerService(exchange, *wanted, *caller);
    } else if (exchange.path() == modelsPath || exchange.path() == chatPath) {
        d->refuse(exchange, {error_kind::method_not_allowed, "the method is not allowed for this path"});
    } else {
        d->refuse(exchange, {error_kind::unknown_path, "there is no such path"});
    }
}

void caller_interface::setNotReady()
{
    d->isReady = false;
}

void caller_interface::refuseNewRequests()
{
    d->isRefusing = true;
}

} // namespace vetchpost
