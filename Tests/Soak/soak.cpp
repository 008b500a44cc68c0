// SPDX-License-Identifier: Apache-2.0
// The fault soak: runs real daemons, injects faults from outside and checks the daemons' promises by what clients and replicas record. It
// is never installed.
#include "Tests/Soak/soak_checks.h"
#include "Tests/Soak/soak_run.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>

namespace {

using namespace vetchpost;
using namespace vetchpost::test;

constexpr auto usage = R"(Fault soak of the entry daemon.

Usage:
  soak [options] --keep=<folder> --daemon-binary=<file> --stand-ins=<folder>

Options:
  --seed=<n>              Determines the whole schedule [default: 1].
  --seconds=<n>           Duration of the traffic; the last 14 seconds are without faults [default: 45].
  --daemons=<n>           Entry daemons [default: 4].
  --replicas=<n>          Replicas with an engine, in two fabric domains [default: 12].
  --clients=<n>           Clients at a time [default: 20].
  --deadly=<n>            Requests that end each replica that runs them and are sent repeatedly [default: 0].
  --deadly-parts=<n>      Parts of prompts that end each replica which begins to answer them [default: 0].
  --exit-ms=<n>           Time for which the port of a replica stays open after a request has ended it [default: 0].
  --notices=<n>           Times that a replica reports a rate limit, asks for a backoff or announces that it leaves [default: 0].
  --evacuations=<n>       Evacuations of one of two data centres, over which the replicas are then spread [default: 0].
  --outages=<n>           Series of outages of the store in quick succession, with daemons killed meanwhile [default: 0].
  --isolations=<n>        Series of heads that are cut off from the daemons and the store, but not from their members [default: 0].
  --restores=<n>          Times that the store goes away and comes back from an older copy [default: 0].
  --lost-withdrawals=<n>  Of the restorations, those that lose the withdrawal of a key; a daemon then starts about when the store is back
                          [default: 0].
  --cold=<n>              Requests per second that replicas accept for 3 s after a restart, and all of them at times; 0: no limit [default: 0].
  --pauses=<n>            Times that all replicas send nothing for a while as the configuration changes [default: 0].
  --pause-ms=<n>          Length of these pauses, to which up to 300 ms are added [default: 1000].
  --calm                  No faults but those that the other options name.
  --heartbeat-ms=<n>      Time between two renewals of a replica's entry [default: 400].
  --slots=<n>             Requests that a replica with an engine runs at once [default: 26].
  --rejections=<n>        Of a hundred requests, the number that replicas reject as full while there are faults [default: 0].
  --waves                 The rejections come in waves of 10 s, one each 20 s.
  --herd-kills=<n>        Times that all daemons are killed at the same moment [default: 0].
  --rolls=<n>             Times that all daemons are stopped and started again, one shortly after the other [default: 0].
  --standstills=<n>       Times that about half of the replicas do nothing for 1 to 10 s; what they are sent arrives afterwards [default: 0].
  --cuts=<n>              Times that the daemons are cut off from each other, and some of one side restart [default: 0].
  --stale-settings        The settings of each start say that it is the first one.
  --retry-slack=<n>       Retries allowed in a window beside those for each request [default: 8].
  --losses=<n>            Of a thousand events of streams, the number that arrive as late as a retransmitted packet [default: 0].
  --keep=<folder>         Folder for settings and logs.
  --daemon-binary=<file>  vetchpostd.
  --stand-ins=<folder>    Folder with the programs of the stand-ins.
  --explain=<file>        vetchpost, which prints the timeline of a request.
  --base-port=<n>         The first of several hundred ports [default: 31000].
)";

/// The request's timeline is printed for at most this many broken promises.
constexpr std::size_t maxTimelines = 5;

std::ptrdiff_t countAttempts(const soak_facts &facts, attempt_end end)
{
    return std::count_if(facts.attempts.begin(), facts.attempts.end(), [&](const attempt_fact &attempt) { return attempt.end == end; });
}

void printCounts(const soak_facts &facts, const broken_promises &broken)
{
    const auto ran
        = std::count_if(facts.events.begin(), facts.events.end(), [](const platform_event &event) { return event.what == "ran"; });
    fmt::print("offered {}, ran {}, answered {}, refused {}, failed {}, broken off {}, not sent {}, left {}, broken promises {}\n",
               facts.attempts.size(),
               ran,
               countAttempts(facts, attempt_end::answered),
               countAttempts(facts, attempt_end::refused),
               countAttempts(facts, attempt_end::failed),
               countAttempts(facts, attempt_end::broken),
               countAttempts(facts, attempt_end::not_sent),
               countAttempts(facts, attempt_end::abandoned),
               broken.size());
    resource_sample peak;
    for (const auto &sample : facts.samples) {
        peak.memoryKilobytes = std::max(peak.memoryKilobytes, sample.memoryKilobytes);
        peak.threads = std::max(peak.threads, sample.threads);
        peak.descriptors = std::max(peak.descriptors, sample.descriptors);
    }
    fmt::print("most of a daemon: {} kB, {} threads, {} descriptors\n", peak.memoryKilobytes, peak.threads, peak.descriptors);
    std::map<int, int> statuses;
    for (const auto &attempt : facts.attempts) {
        statuses[attempt.status] += attempt.end == attempt_end::failed || attempt.end == attempt_end::refused ? 1 : 0;
    }
    for (const auto &[status, count] : statuses) {
        fmt::print("status {}: {}\n", status, count);
    }
}

/// Prints a request's attempt and events, and its timeline by vetchpost explain if \a explain is its path.
void printTimeline(const soak_facts &facts, const request_id &id, const std::string &explain, const std::string &folder)
{
    for (const auto &attempt : facts.attempts) {
        if (attempt.id == id) {
            fmt::print("    sent to daemon {} at {}, ended {} ms later\n",
                       attempt.daemon,
                       attempt.sentAt.time_since_epoch().count(),
                       (attempt.endedAt - attempt.sentAt).count());
        }
    }
    for (const auto &event : facts.events) {
        if (event.attempt == id) {
            fmt::print("    at {}: {} at {}\n", event.at.time_since_epoch().count(), event.what, event.replica.value());
        }
    }
    std::fflush(stdout);
    if (!explain.empty()) {
        [[maybe_unused]] const int code
            = std::system(fmt::format("'{}' explain {} '{}'/daemon-*.log", explain, id.value(), folder).c_str());
    }
}

/// Writes the events that the replicas recorded into a file beside the daemons' logs.
void writeEvents(const soak_facts &facts, const std::string &folder)
{
    std::ofstream out(folder + "/events.txt");
    for (const auto &event : facts.events) {
        out << fmt::format("{} {} {} {}\n", event.at.time_since_epoch().count(), event.what, event.replica.value(), event.attempt.value());
    }
}

void printBroken(const soak_facts &facts, const broken_promises &broken, const std::string &explain, const std::string &folder)
{
    std::size_t timelines = 0;
    for (const auto &promise : broken) {
        fmt::print("BROKEN: {}: {} {}\n", promise.promise, promise.details, promise.attempt.value());
        if (!promise.attempt.isEmpty() && ++timelines <= maxTimelines) {
            printTimeline(facts, promise.attempt, explain, folder);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto number = [&](const char *name) { return arguments.at(name).asLong(); };
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT}) {
        std::signal(number, [](int) { interruptSoak(); });
    }
    soak_options options;
    options.seed = static_cast<std::uint64_t>(number("--seed"));
    options.size
        = {std::chrono::seconds(number("--seconds")), static_cast<int>(number("--daemons")), static_cast<int>(number("--replicas"))};
    options.clients = static_cast<int>(number("--clients"));
    options.deadlyRequests = static_cast<int>(number("--deadly"));
    options.deadlyParts = static_cast<int>(number("--deadly-parts"));
    options.exitTime = duration(number("--exit-ms"));
    options.notices = static_cast<int>(number("--notices"));
    options.evacuations = static_cast<int>(number("--evacuations"));
    options.outages = static_cast<int>(number("--outages"));
    options.restores = static_cast<int>(number("--restores"));
    options.lostWithdrawals = static_cast<int>(number("--lost-withdrawals"));
    options.coldPerSecond = static_cast<int>(number("--cold"));
    options.slots = static_cast<int>(number("--slots"));
    options.pauses = static_cast<int>(number("--pauses"));
    options.heartbeat = duration(number("--heartbeat-ms"));
    options.lossesPerThousand = static_cast<int>(number("--losses"));
    options.rejectionsPerHundred = static_cast<int>(number("--rejections"));
    options.isRejectingInWaves = arguments.at("--waves").asBool();
    options.herdKills = static_cast<int>(number("--herd-kills"));
    options.rolls = static_cast<int>(number("--rolls"));
    options.standstills = static_cast<int>(number("--standstills"));
    options.cuts = static_cast<int>(number("--cuts"));
    options.pauseLength = duration(number("--pause-ms"));
    options.hasStaleSettings = arguments.at("--stale-settings").asBool();
    options.retrySlack = static_cast<int>(number("--retry-slack"));
    options.folder = arguments.at("--keep").asString();
    options.daemonProgram = arguments.at("--daemon-binary").asString();
    options.standIns = arguments.at("--stand-ins").asString();
    options.basePort = static_cast<std::uint16_t>(number("--base-port"));
    std::filesystem::create_directories(options.folder);
    auto plan = arguments.at("--calm").asBool() ? std::vector<planned_fault>() : planFaults(options.seed, options.size);
    const auto isolations = planIsolations(options.seed, options.size, static_cast<int>(number("--isolations")));
    plan.insert(plan.end(), isolations.begin(), isolations.end());
    const auto herdKills = planHerdKills(options.seed, options.size, options.herdKills);
    plan.insert(plan.end(), herdKills.begin(), herdKills.end());
    const auto rolls = planRolls(options.seed, options.size, options.rolls);
    plan.insert(plan.end(), rolls.begin(), rolls.end());
    fmt::print("seed {}, {} faults\n", options.seed, plan.size());
    for (const auto &fault : plan) {
        fmt::print("{}\n", describe(fault));
    }
    for (const auto &notice : planNotices(options.seed, options.size, options.notices)) {
        fmt::print("{}\n", describe(notice));
    }
    for (const auto &evacuation : planEvacuations(options.seed, options.size, options.evacuations)) {
        fmt::print("{}\n", describe(evacuation));
    }
    for (const auto &pause : planPauses(options.seed, options.size, options.pauses, options.pauseLength)) {
        fmt::print("{}\n", describe(pause));
    }
    for (const auto &fault : planOutages(options.seed, options.size, options.outages)) {
        fmt::print("{}\n", describe(fault));
    }
    for (const auto &standstill : planStandstills(options.seed, options.size, options.standstills)) {
        fmt::print("{}\n", describe(standstill));
    }
    for (const auto &cut : planCuts(options.seed, options.size, options.cuts)) {
        fmt::print("{}\n", describe(cut));
    }
    const auto restores = planRestores(options.seed, options.size, options.restores);
    for (const auto &restore : restores) {
        fmt::print("{}\n", describe(restore));
    }
    for (const auto &loss : planStartsAtReturns(options.seed, options.size, restores, options.lostWithdrawals)) {
        fmt::print("{}\n", describe(loss));
    }
    std::fflush(stdout);
    try {
        const auto facts = runSoak(options, plan);
        soak_bounds bounds;
        bounds.retrySlack = options.retrySlack;
        const auto broken = checkAll(facts, bounds);
        const auto explain = arguments.at("--explain").isString() ? arguments.at("--explain").asString() : std::string();
        writeEvents(facts, options.folder);
        printCounts(facts, broken);
        fmt::print("evacuations {}, last arrival of an undisturbed daemon {} ms after the write\n",
                   facts.evacuations.size(),
                   longestEvacuation(facts, bounds).count());
        for (const auto &window : fullestRetryWindows(facts, bounds)) {
            fmt::print("{}: at most {} of {:.1f} allowed repeats in a window ({:.2f}), from {}\n",
                       window.service,
                       window.retries,
                       window.allowed,
                       static_cast<double>(window.retries) / window.allowed,
                       window.from.time_since_epoch().count());
        }
        printBroken(facts, broken, explain, options.folder);
        return broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        fmt::print("soak: {}\n", error.what());
        return EXIT_FAILURE;
    }
}
