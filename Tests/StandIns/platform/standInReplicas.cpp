// SPDX-License-Identifier: Apache-2.0
// Test stand-ins for all replicas of the users' platform, in one process. Never installed.
#include "Tests/StandIns/fault_switches.h"
#include "Tests/StandIns/platform/entry_writer.h"
#include "Tests/StandIns/platform/stand_in_names.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <sstream>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr auto usage = R"(Stand-ins for the replicas of the platform.

Usage:
  standInReplicas [options] --store=<address> --control=<address> --base-port=<port> --models=<list> --domains=<n> --per-domain=<n> --services=<list>

Options:
  --store=<address>      The store that holds the replicas' entries.
  --control=<address>    Address at which faults are set and facts and events are read.
  --base-port=<port>     Port of the first replica; the others use the ports after it.
  --models=<list>        Models with their group sizes, as m0:4,m1:2.
  --domains=<n>          Number of fabric domains.
  --per-domain=<n>       Number of replicas with an engine in each fabric domain.
  --services=<list>      Plain services with their numbers of replicas, as plain:3.
  --zones=<list>         Names of the data centres; fabric domains and plain replicas are spread over them in turn [default: ikeja].
  --heartbeat-ms=<ms>    Time between two renewals of an entry [default: 400].
  --load-ms=<ms>         Time to load weights from the store [default: 300].
  --warm-ms=<ms>         Time to load weights from the host's copy [default: 100].
  --form-ms=<ms>         Time to open a group [default: 50].
  --stall-ms=<ms>        Time for which a group that lost a member stalls before it breaks [default: 1500].
  --cold-ms=<ms>         Time for which a replica is cold after each start but its first; 0: never [default: 0].
  --cold-bound=<n>       Requests that a cold replica bears within any second [default: 0].
  --step-ms=<ms>         Time for a token [default: 10].
  --slots=<n>            Requests that a replica with an engine runs at once [default: 26].
)";

constexpr int plainSlots = 6;

/// Parses a list such as "a:1,b:2".
std::vector<std::pair<std::string, unsigned>> parseCounts(const std::string &text)
{
    std::vector<std::pair<std::string, unsigned>> result;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        const auto colon = part.find(':');
        result.emplace_back(part.substr(0, colon), static_cast<unsigned>(std::stoul(part.substr(colon + 1))));
    }
    return result;
}

/// Splits a list such as "a,b".
std::vector<std::string> parseNames(const std::string &text)
{
    std::vector<std::string> result;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        result.push_back(part);
    }
    return result;
}

stand_in_replica makeReplica(const std::string &service, const std::string &domain, int slots)
{
    stand_in_replica replica;
    replica.service = service;
    replica.domain = domain;
    replica.slots = slots;
    replica.hasEngine = !domain.empty();
    return replica;
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    blockStopSignals();
    const auto number = [&](const char *name) { return arguments.at(name).asLong(); };
    const auto address = [&](const char *name) { return parseEndpoint(arguments.at(name).asString()).value(); };
    replica_simulation simulation;
    simulation.timing.load = duration(number("--load-ms"));
    simulation.timing.warm = duration(number("--warm-ms"));
    simulation.timing.form = duration(number("--form-ms"));
    simulation.timing.stall = duration(number("--stall-ms"));
    simulation.timing.cold = duration(number("--cold-ms"));
    simulation.coldBound = static_cast<double>(number("--cold-bound"));
    for (const auto &[model, size] : parseCounts(arguments.at("--models").asString())) {
        simulation.sizes[model] = size;
    }
    const auto zones = parseNames(arguments.at("--zones").asString());
    const auto zoneOf = [&](std::size_t number) { return zones.at(number % zones.size()); };
    for (long domain = 0; domain < number("--domains"); ++domain) {
        for (long index = 0; index < number("--per-domain"); ++index) {
            simulation.replicas.push_back(
                makeReplica(stand_in_names::engineService, fmt::format("d{}", domain), static_cast<int>(number("--slots"))));
            simulation.replicas.back().zone = zoneOf(static_cast<std::size_t>(domain));
        }
    }
    for (const auto &[service, count] : parseCounts(arguments.at("--services").asString())) {
        for (unsigned index = 0; index < count; ++index) {
            simulation.replicas.push_back(makeReplica(service, {}, plainSlots));
            simulation.replicas.back().zone = zoneOf(index);
        }
    }
    host_options options;
    options.heartbeat = duration(number("--heartbeat-ms"));
    options.step = duration(number("--step-ms"));
    options.basePort = static_cast<std::uint16_t>(number("--base-port"));
    replica_host host(std::move(simulation), options);
    const entry_writer writer(host, address("--store"), options.heartbeat);
    const auto control = serveControl(
        address("--control"), host.journal(), [&](const Json::Value &json) { host.setFaults(json); }, [&] { return host.facts(); });
    waitForStop();
    std::_Exit(0);
}
