// SPDX-License-Identifier: Apache-2.0
// Stand-ins for all replicas of the users' platform in one process. Never installed.
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
  --store=<address>      The store that the replicas record themselves in.
  --control=<address>    Where faults are set and facts are told.
  --base-port=<port>     The first replica's port; each has one of its own.
  --models=<list>        Models with the size of a group, as m0:4,m1:2.
  --domains=<n>          Fabric domains.
  --per-domain=<n>       Replicas with an engine in each.
  --services=<list>      Plain services with their replicas, as plain:3.
  --heartbeat-ms=<ms>    Between two writes of an entry [default: 400].
  --load-ms=<ms>         A load of weights from the store [default: 300].
  --warm-ms=<ms>         A load from the host's own copy [default: 100].
  --form-ms=<ms>         The opening of a group [default: 50].
  --stall-ms=<ms>        How long a group without a member stands still [default: 1500].
  --step-ms=<ms>         One token [default: 10].
)";

constexpr int engineSlots = 26;
constexpr int plainSlots = 6;

/// A list as "a:1,b:2".
std::vector<std::pair<std::string, unsigned>> pairsOf(const std::string &text)
{
    std::vector<std::pair<std::string, unsigned>> result;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        const auto colon = part.find(':');
        result.emplace_back(part.substr(0, colon), static_cast<unsigned>(std::stoul(part.substr(colon + 1))));
    }
    return result;
}

stand_in_replica replicaOf(const std::string &service, const std::string &domain, int slots)
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
    replica_world world;
    world.timing.load = duration(number("--load-ms"));
    world.timing.warm = duration(number("--warm-ms"));
    world.timing.form = duration(number("--form-ms"));
    world.timing.stall = duration(number("--stall-ms"));
    for (const auto &[model, size] : pairsOf(arguments.at("--models").asString())) {
        world.sizes[model] = size;
    }
    for (long domain = 0; domain < number("--domains"); ++domain) {
        for (long place = 0; place < number("--per-domain"); ++place) {
            world.replicas.push_back(replicaOf(stand_in_names::engineService, fmt::format("d{}", domain), engineSlots));
        }
    }
    for (const auto &[service, count] : pairsOf(arguments.at("--services").asString())) {
        world.replicas.insert(world.replicas.end(), count, replicaOf(service, {}, plainSlots));
    }
    host_options options;
    options.heartbeat = duration(number("--heartbeat-ms"));
    options.step = duration(number("--step-ms"));
    options.basePort = static_cast<std::uint16_t>(number("--base-port"));
    replica_host host(std::move(world), options);
    const entry_writer writer(host, address("--store"), options.heartbeat);
    const auto control = serveControl(
        address("--control"), host.journal(), [&](const Json::Value &json) { host.setFaults(json); }, [&] { return host.facts(); });
    waitForStop();
    std::_Exit(0);
}
