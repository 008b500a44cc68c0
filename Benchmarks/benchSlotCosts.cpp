// SPDX-License-Identifier: Apache-2.0
// Measures what slot dispatch costs: bytes, datagrams and processor time per request, at the asking daemon and at a dispatcher, and the
// share of a core that one dispatcher needs in deployments of several sizes.
#include "Benchmarks/figure.h"
#include "Libraries/Dispatch/slot_dispatcher.h"
#include "Libraries/Dispatch/slot_messages.h"
#include "Libraries/Entry/dispatch_service.h"
#include "Libraries/Feed/dispatcher_choice.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <deque>

using namespace vetchpost;
using namespace vetchpost::bench;

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr int requests = 20000;
/// The design target: 11,000 requests per second and 1,400 replicas at 350 daemons, in groups of 8.
constexpr double requestsPerDaemonAndSecond = 11000.0 / 350;
constexpr double groupsPerDaemon = 1400.0 / 350 / 8;
constexpr int slotsPerGroup = 96;
constexpr double holdSeconds = 1.2;

const service_id service("large");
const model_id model("model-a");

/// Returns the processor time of this thread in seconds. Exact, unlike processorSeconds(), so that parts of one request can be measured.
double threadSeconds()
{
    constexpr double nanosecondsPerSecond = 1e9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

slot_request requestFor(std::uint64_t ticket)
{
    slot_request request;
    request.ticket = ticket;
    request.service = service;
    request.model = model;
    request.organisation = organisation_id(fmt::format("organisation-{}", ticket % 24));
    request.priority = 1;
    request.promptTokens = 700;
    request.expectedTokens = 120;
    request.untilLate = duration(240);
    request.timeLeft = duration(8000);
    request.dataCentre = data_centre_id("olazti");
    return request;
}

engine_description engineOf()
{
    engine_description engine;
    engine.slots = slotsPerGroup;
    group_model served;
    served.id = model;
    engine.models.push_back(served);
    return engine;
}

struct costs
{
    double askerSeconds = 0;
    double dispatcherSeconds = 0;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
};

/// Runs requests at the rate that one dispatcher has in a deployment of this size, in virtual time and without sockets.
costs measureDecisions(int daemons, int dispatchers)
{
    slot_dispatcher dispatcher;
    std::vector<dispatch_group> groups;
    const auto count = std::max(1, static_cast<int>(std::ceil(daemons * groupsPerDaemon / dispatchers)));
    groups.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        groups.push_back(
            {instance_id(fmt::format("i-{:010x}", i)), replica_incarnation(1), model, data_centre_id("olazti"), slotsPerGroup});
    }
    instant now(duration(1000000));
    updateGroups(dispatcher, groups, engineOf(), now);
    const double rate = daemons * requestsPerDaemonAndSecond / dispatchers;
    const endpoint asker{"10.0.0.1", 7341};
    costs result;
    std::deque<std::pair<instant, std::uint64_t>> held;
    std::vector<slot_release> releases;
    const auto send = [&](const slot_message &message) {
        auto bytes = *encodeSlotMessage(message);
        result.bytes += bytes.size();
        ++result.datagrams;
        return bytes;
    };
    for (int number = 0; number < requests; ++number) {
        now = instant(duration(1000000 + static_cast<int>(number * 1000 / rate)));
        const auto begin = threadSeconds();
        const auto asked = send(slot_request_message{requestFor(static_cast<std::uint64_t>(number) + (1ULL << 51U)), releases});
        const auto sent = threadSeconds();
        const auto request = std::get<slot_request_message>(*decodeSlotMessage(asked)).request;
        const auto answer = requestSlot(dispatcher, request, asker, now);
        auto more = advance(dispatcher, now);
        const auto answered = send(answer);
        const auto decided = threadSeconds();
        (void)decodeSlotMessage(answered);
        result.askerSeconds += sent - begin + threadSeconds() - decided;
        result.dispatcherSeconds += decided - sent;
        if (answer.verdict == slot_verdict::granted) {
            held.emplace_back(now + duration(static_cast<int>(holdSeconds * 1000)), answer.ticket);
        }
        while (!held.empty() && held.front().first <= now) {
            const auto releaseBegin = threadSeconds();
            releases.push_back({held.front().second, slot_end::done});
            if (releases.size() > repeatedReleases) {
                releases.erase(releases.begin());
            }
            const auto released = send(slot_release_message{releases});
            const auto releaseSent = threadSeconds();
            const auto message = std::get<slot_release_message>(*decodeSlotMessage(released));
            for (const auto &release : message.releases) {
                (void)releaseSlot(dispatcher, release.ticket, asker, release.end, now);
            }
            result.askerSeconds += releaseSent - releaseBegin;
            result.dispatcherSeconds += threadSeconds() - releaseSent;
            held.pop_front();
        }
    }
    return result;
}

endpoint freeDatagramPort()
{
    const Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

/// An asking daemon and a dispatcher with sockets and threads, in this process.
void measureSockets()
{
    constexpr int rounds = 5000;
    struct peer
    {
        entry_settings settings;
        metrics counters;
        dispatcher_directory directory;
        dispatch_socket socket{counters};
        dispatch_client client{socket, directory, counters};
        dispatch_service dispatch{settings, socket, client, directory, counters};
    };
    peer asker;
    peer dispatcher;
    backend head;
    head.replica = instance_id("i-0000000001");
    head.slots = slotsPerGroup;
    head.load = std::make_shared<backend_load>();
    auto view = std::make_shared<entry_view>();
    served_configuration configuration;
    served_service described;
    described.id = service;
    described.engine = engineOf();
    configuration.services.push_back(described);
    view->routes = std::make_shared<const route_table>(std::move(configuration));
    view->groups[{service, model}] = {head};
    for (auto *next : {&asker, &dispatcher}) {
        next->settings.dispatch = freeDatagramPort();
    }
    for (auto *next : {&asker, &dispatcher}) {
        next->directory.replace({{{service, model, {{daemon_id("d"), *dispatcher.settings.dispatch}}}}});
        next->dispatch.updateView(view);
        next->dispatch.start();
    }
    std::this_thread::sleep_for(duration(200));
    int granted = 0;
    const auto before = processorSeconds();
    for (int number = 0; number < rounds; ++number) {
        const auto placed = asker.client.requestPlace(requestFor(0), {head}, -1);
        if (placed.place) {
            ++granted;
            asker.client.release(*placed.place, slot_end::done);
        }
    }
    printFigure({"with_sockets_both_sides", (processorSeconds() - before) * microsecondsPerSecond / rounds, "us/request", {}, {}});
    printFigure({"with_sockets_granted", 100.0 * granted / rounds, "percent", {}, {}});
}

} // namespace

int main()
{
    for (const int daemons : {8, 74, 195, 350}) {
        const int outstanding = static_cast<int>(daemons * requestsPerDaemonAndSecond * holdSeconds);
        const int dispatchers = dispatchersNeeded(outstanding, 0);
        const auto measured = measureDecisions(daemons, dispatchers);
        const auto perRequest = [](double total) { return total / requests; };
        const auto name = [&](const char *what) { return fmt::format("{}_at_{}_daemons", what, daemons); };
        const auto dispatcherMicroseconds = perRequest(measured.dispatcherSeconds) * microsecondsPerSecond;
        printFigure({name("dispatchers"), static_cast<double>(dispatchers), "", {}, {}});
        printFigure({name("bytes"), perRequest(static_cast<double>(measured.bytes)), "bytes/request", {}, {}});
        printFigure({name("datagrams"), perRequest(static_cast<double>(measured.datagrams)), "/request", {}, {}});
        printFigure({name("asker"), perRequest(measured.askerSeconds) * microsecondsPerSecond, "us/request", {}, {}});
        printFigure({name("dispatcher"), dispatcherMicroseconds, "us/request", {}, {}});
        printFigure({name("dispatcher_core_share"),
                     dispatcherMicroseconds / microsecondsPerSecond * daemons * requestsPerDaemonAndSecond / dispatchers * 100,
                     "percent",
                     {},
                     {}});
    }
    measureSockets();
}
