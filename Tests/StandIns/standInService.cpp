// SPDX-License-Identifier: Apache-2.0
// A test stand-in for an instance of a plain service, which books work orders and counts them. Never installed.
#include "Tests/StandIns/fault_switches.h"

#include <docopt/docopt.h>

#include <map>
#include <mutex>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr auto usage = R"(Stand-in for a plain service.

Usage:
  standInService INSTANCE ADDRESS
)";

constexpr int created = 201;

class service_stand_in
{
public:
    explicit service_stand_in(std::string instance)
        : m_instance(std::move(instance))
    {
    }

    void handle(http_exchange &exchange)
    {
        if (exchange.path() == "/faults" && exchange.method() == "GET") {
            sendJson(exchange, m_faults.counts());
            return;
        }
        if (exchange.path() == "/faults") {
            m_faults.set(readJsonBody(exchange));
            sendJson(exchange, Json::Value(Json::objectValue));
            return;
        }
        if (exchange.path() == "/booked") {
            showBooked(exchange);
            return;
        }
        if (!m_faults.applyBeforeCall(exchange)) {
            return;
        }
        exchange.setHeader("X-Request-Id", exchange.header("X-Request-Id"));
        if (exchange.method() == "POST") {
            book(exchange);
        } else {
            Json::Value json;
            json["path"] = exchange.path();
            json["instance"] = m_instance;
            sendJson(exchange, json);
        }
    }

private:
    void book(http_exchange &exchange)
    {
        const auto body = readJsonBody(exchange);
        int number = 0;
        {
            const std::lock_guard lock(m_mutex);
            number = ++m_booked;
            ++m_orders[jsonString(body, "order")];
        }
        if (m_faults.shouldLoseReply()) {
            exchange.abort();
            return;
        }
        Json::Value json;
        json["work_order"] = number;
        json["instance"] = m_instance;
        sendJson(exchange, json, created);
    }

    void showBooked(http_exchange &exchange)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value json(Json::objectValue);
        for (const auto &[order, count] : m_orders) {
            json[order] = count;
        }
        sendJson(exchange, json);
    }

    std::string m_instance;
    fault_switches m_faults;
    std::mutex m_mutex;
    int m_booked = 0;
    std::map<std::string, int> m_orders;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    blockStopSignals();
    service_stand_in service(arguments.at("INSTANCE").asString());
    const auto address = parseEndpoint(arguments.at("ADDRESS").asString()).value();
    const http_server server(address, {}, [&](http_exchange &exchange) { service.handle(exchange); });
    waitForStop();
    return 0;
}
