// SPDX-License-Identifier: Apache-2.0
// A test stand-in for an instance that runs a model engine. Never installed.
#include "Tests/StandIns/engineModel.h"
#include "Tests/StandIns/fault_switches.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr auto usage = R"(Stand-in for a model engine.

Usage:
  standInEngine [options] INSTANCE ADDRESS

Options:
  --ignore-fencing      Accept orders with old fencing numbers.
  --load-ms MS          Time to load weights [default: 500].
  --first-token-ms MS   Time to the first token [default: 30].
  --token-gap-ms MS     Time between tokens [default: 20].
  --most-running N      Maximum number of concurrent requests; others are refused [default: 4000].
)";

constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int serviceUnavailable = 503;

/// Faults of streams, which POST /faults sets in addition to fault_switches.
struct stream_faults
{
    /// Number of tokens after which the connection is closed; 0 for never.
    std::atomic<std::uint64_t> breakAfter = 0;
    /// Whether the end marker is omitted.
    std::atomic<bool> omitEnd = false;
    /// Whether chunks carry the id of another request.
    std::atomic<bool> useForeignId = false;
    /// Whether requests to resume a broken stream are refused.
    std::atomic<bool> refuseResume = false;

    void set(const Json::Value &json)
    {
        breakAfter = jsonNumber(json, "break_after");
        omitEnd = jsonFlag(json, "omit_end");
        useForeignId = jsonFlag(json, "foreign_id");
        refuseResume = jsonFlag(json, "refuse_resume");
    }
};

class engine_stand_in
{
public:
    engine_stand_in(instance_id instance, const engine_options &options)
        : m_model(std::move(instance), options)
    {
    }

    void handle(http_exchange &exchange)
    {
        if (exchange.path() == "/faults" && exchange.method() == "GET") {
            sendJson(exchange, m_faults.counts());
        } else if (exchange.path() == "/faults") {
            const auto body = readJsonBody(exchange);
            m_faults.set(body);
            m_streamFaults.set(body);
            m_model.setLeaving(jsonFlag(body, "leaving"));
            sendJson(exchange, Json::Value(Json::objectValue));
        } else if (exchange.path() == "/runs") {
            showRuns(exchange);
        } else if ((m_faults.backoffSeconds != 0 && exchange.path() != "/v1/completions") || m_faults.applyBeforeCall(exchange)) {
            answer(exchange);
        }
    }

private:
    void answer(http_exchange &exchange)
    {
        const auto &path = exchange.path();
        if (path == "/v1/state") {
            sendJson(exchange, toJson(m_model.state(monotonicNow())));
        } else if (path == "/v1/orders") {
            acceptOrder(exchange);
        } else if (path == "/v1/completions") {
            complete(exchange);
        } else if (path == "/v1/resume") {
            resume(exchange);
        } else if (path == "/v1/cancel") {
            m_model.cancel(jsonString(readJsonBody(exchange), "request_id"));
            sendJson(exchange, Json::Value(Json::objectValue));
        } else {
            exchange.send(notFound, "text/plain", "nothing here\n");
        }
    }

    void acceptOrder(http_exchange &exchange)
    {
        const auto order = engineOrderFrom(readJsonBody(exchange));
        if (!order || !m_model.acceptOrder(*order, monotonicNow())) {
            sendJson(exchange, Json::Value(Json::objectValue), conflict);
            return;
        }
        sendJson(exchange, toJson(m_model.state(monotonicNow())));
    }

    void showRuns(http_exchange &exchange)
    {
        Json::Value json(Json::objectValue);
        for (const auto &[request, count] : m_model.runs()) {
            json[request] = count;
        }
        sendJson(exchange, json);
    }

    void refuse(http_exchange &exchange, int status, const std::string &why)
    {
        Json::Value json;
        json["ran"] = "not_run";
        json["message"] = why;
        sendJson(exchange, json, status);
    }

    void complete(http_exchange &exchange)
    {
        const auto call = readJsonBody(exchange);
        std::string refusalReason;
        const auto generated = m_model.startAnswer(call, monotonicNow(), refusalReason);
        if (!generated) {
            refuse(exchange, serviceUnavailable, refusalReason);
            return;
        }
        const auto request = jsonString(call, "request_id");
        stream(exchange, request, *generated, generated->firstIndex);
        m_model.finishAnswer(request);
    }

    void resume(http_exchange &exchange)
    {
        const auto call = readJsonBody(exchange);
        const auto request = jsonString(call, "request_id");
        const auto generated = m_model.findAnswer(request);
        if (!generated || m_streamFaults.refuseResume) {
            exchange.send(notFound, "text/plain", "no such stream\n");
            return;
        }
        stream(exchange, request, *generated, jsonNumber(call, "first_index"));
    }

    void stream(http_exchange &exchange, const std::string &request, const generated_answer &generated, std::uint64_t from)
    {
        const auto present = m_model.state(monotonicNow());
        const auto &options = m_model.options();
        exchange.beginStream(200, "text/event-stream");
        const auto id = m_streamFaults.useForeignId ? "another-" + request : request;
        std::uint64_t sent = 0;
        for (auto index = from; index < generated.words.size(); ++index) {
            const auto due = generated.startedAt + options.firstTokenDelay + options.tokenGap * (index - generated.firstIndex);
            std::this_thread::sleep_for(due - monotonicNow());
            if (m_model.isCancelled(request)) {
                exchange.abort();
                return;
            }
            const bool isLast = index + 1 == generated.words.size();
            const auto piece
                = fmt::format(R"(data: {{"request_id":"{}","group":"{}","generation":{},"index":{},"text":{},"finish_reason":"{}"}})"
                              "\n\n",
                              id,
                              present.group.value(),
                              present.confirmed.value(),
                              index,
                              toJsonText(generated.words[index]),
                              isLast ? "stop" : "");
            if (!exchange.write(piece)) {
                return;
            }
            ++sent;
            if (m_streamFaults.breakAfter != 0 && sent >= m_streamFaults.breakAfter) {
                exchange.abort();
                return;
            }
        }
        if (!m_streamFaults.omitEnd) {
            exchange.write("data: [DONE]\n\n");
        }
        exchange.completeAnswer();
    }

    engine_model m_model;
    fault_switches m_faults;
    stream_faults m_streamFaults;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    blockStopSignals();
    engine_options options;
    const auto number = [&](const char *name) { return static_cast<int>(arguments.at(name).asLong()); };
    options.checksFencing = !arguments.at("--ignore-fencing").asBool();
    options.loadTime = duration(number("--load-ms"));
    options.firstTokenDelay = duration(number("--first-token-ms"));
    options.tokenGap = duration(number("--token-gap-ms"));
    options.maxRunning = number("--most-running");
    engine_stand_in engine(instance_id(arguments.at("INSTANCE").asString()), options);
    http_server_limits limits;
    limits.maximumThreads = options.maxRunning + 64;
    limits.maximumQueued = limits.maximumThreads;
    const auto address = parseEndpoint(arguments.at("ADDRESS").asString()).value();
    const http_server server(address, limits, [&](http_exchange &exchange) { engine.handle(exchange); });
    waitForStop();
    return 0;
}
